package io.chivehollow.base;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Schedules tasks on a {@link ScheduledExecutorService}.
 *
 * <p>Thread-safe. A repeating task is run again after a run that threw an exception.
 */
final class ExecutorScheduler implements Scheduler {

    private static final Logger LOG = Logger.getLogger(ExecutorScheduler.class);

    private final ScheduledExecutorService executor;

    ExecutorScheduler(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        Future<?> future = executor.schedule(loggingFailures(task), delayMs, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Timer scheduleRepeating(long periodMs, Runnable task) {
        Future<?> future =
                executor.scheduleWithFixedDelay(loggingFailures(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("Scheduled task threw an exception; a repeating task will run again", e);
            }
        };
    }
}
