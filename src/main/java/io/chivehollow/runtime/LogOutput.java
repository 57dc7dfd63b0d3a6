package io.chivehollow.runtime;

import java.util.ArrayList;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.chivehollow.settings.LogFormat;
import io.chivehollow.settings.Settings;
import org.jboss.logging.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets the form of the log.
 *
 * <p>Not thread-safe; used once at the start of a process. Text is what the log manager's own configuration gives; JSON
 * replaces the encoder of its appenders.
 */
public final class LogOutput {

    private static final Logger LOG = Logger.getLogger(LogOutput.class);

    private LogOutput() {}

    /** Sets the form that the settings name, and logs errors that end a thread in the same form. */
    public static void configure(Settings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("instance", settings.instance().value());
        context.putProperty("failure_domain", settings.failureDomain().value());
        if (settings.logFormat() == LogFormat.JSON) {
            useJson(context);
        }
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> LOG.errorf(error, "Thread %s has ended with an error", thread.getName()));
    }

    /** Writes what waits in the queue; to be called once at the end of the process. */
    public static void flush() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        long dropped = BoundedAppender.dropped();
        if (dropped > 0) {
            LOG.warnf("%d log lines were dropped because the output was too slow", dropped);
        }
        context.stop();
    }

    /** Writes JSON lines to standard output, through a bounded queue that never blocks. */
    private static void useJson(LoggerContext context) {
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        List<Appender<ILoggingEvent>> appenders = new ArrayList<>();
        root.iteratorForAppenders().forEachRemaining(appenders::add);
        for (Appender<ILoggingEvent> appender : appenders) {
            if (appender instanceof OutputStreamAppender<ILoggingEvent> output) {
                output.stop();
                output.setEncoder(jsonEncoder(context));
                if (output instanceof ConsoleAppender<ILoggingEvent> console) {
                    console.setTarget("System.out");
                }
                output.start();
                root.detachAppender(output);
                BoundedAppender bounded = new BoundedAppender();
                bounded.setContext(context);
                bounded.addAppender(output);
                bounded.start();
                root.addAppender(bounded);
            }
        }
    }

    /** Returns an encoder that writes each event as one JSON object on a line, with the fields of its request. */
    public static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        // The message with its arguments, which are not written a second time.
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.start();
        return encoder;
    }
}
