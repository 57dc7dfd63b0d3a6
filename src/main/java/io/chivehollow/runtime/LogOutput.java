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
 * Configures the log format and flushes the log.
 *
 * <p>Not thread-safe; used once at the start of a process. The text format is that of the log manager's own
 * configuration; the JSON format replaces the encoder of its appenders.
 */
public final class LogOutput {

    private static final Logger LOG = Logger.getLogger(LogOutput.class);

    private LogOutput() {}

    /** Applies the log format of the settings, and logs uncaught exceptions of threads in the same format. */
    public static void configure(Settings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("instance", settings.instance().value());
        context.putProperty("failure_domain", settings.failureDomain().value());
        if (settings.logFormat() == LogFormat.JSON) {
            useJson(context);
        }
        Thread.setDefaultUncaughtExceptionHandler((thread, error) ->
                LOG.errorf(error, "Thread %s was terminated by an uncaught exception", thread.getName()));
    }

    /** Writes the queued log events and stops logging; to be called once at the end of the process. */
    public static void flush() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        long discarded = BoundedAppender.discardedCount();
        if (discarded > 0) {
            LOG.warnf("%d log events were discarded because the log output was too slow", discarded);
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

    /** Returns an encoder that writes each event as one JSON object per line, with the fields of its request. */
    public static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        // The formatted message contains the arguments, so they are not written a second time.
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.start();
        return encoder;
    }
}
