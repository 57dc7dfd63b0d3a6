package io.chivehollow.base;

import java.util.concurrent.ScheduledExecutorService;

/**
 * Runs tasks after a delay.
 *
 * <p>Implementations are thread-safe. A task that throws does not affect other tasks.
 */
public interface Scheduler {

    /** Runs the task once after the delay, in milliseconds. */
    Timer schedule(long delayMs, Runnable task);

    /**
     * Runs the task repeatedly until the timer is cancelled.
     *
     * @param periodMs delay before the first run, and between the end of a run and the start of the next, in
     *     milliseconds
     */
    Timer scheduleRepeating(long periodMs, Runnable task);

    /** Returns a scheduler that runs its tasks on the given executor. */
    static Scheduler on(ScheduledExecutorService executor) {
        return new ExecutorScheduler(executor);
    }

    /** A scheduled task. */
    interface Timer {

        /** Cancels the task; does nothing if it has already run. */
        void cancel();
    }
}
