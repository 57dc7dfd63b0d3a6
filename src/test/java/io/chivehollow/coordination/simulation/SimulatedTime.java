package io.chivehollow.coordination.simulation;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.Scheduler;

/**
 * A scheduler whose time advances only when a test calls {@link #runUntilMs}; runs timers in the order of their times.
 *
 * <p>Not thread-safe.
 */
public final class SimulatedTime implements Scheduler {

    private static final long START_UNIX_MS = 1_800_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long nextOrder;

    /** Returns the time since the start of the simulation in ns. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Returns a clock that runs at {@code speed} times the simulated time and starts at {@code startNanos}. */
    public Clock clock(double speed, long startNanos) {
        return new Clock() {
            @Override
            public long nanoTime() {
                return startNanos + (long) (nowNanos * speed);
            }

            @Override
            public long currentTimeMs() {
                return START_UNIX_MS + TimeUnit.NANOSECONDS.toMillis((long) (nowNanos * speed));
            }
        };
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        return scheduleNanos(TimeUnit.MILLISECONDS.toNanos(delayMs), task);
    }

    /** Runs the task once after the delay; a negative delay counts as 0. */
    public Timer scheduleNanos(long delayNanos, Runnable task) {
        Event event = new Event(nowNanos + Math.max(0, delayNanos), nextOrder++, task);
        events.add(event);
        return () -> events.remove(event);
    }

    @Override
    public Timer scheduleRepeating(long periodMs, Runnable task) {
        Timer[] current = new Timer[1];
        Runnable repeatingTask = new Runnable() {
            @Override
            public void run() {
                current[0] = schedule(periodMs, this);
                task.run();
            }
        };
        current[0] = schedule(periodMs, repeatingTask);
        return () -> current[0].cancel();
    }

    /** Runs all tasks that are due up to the given time and advances the time to it. */
    public void runUntilMs(long timeMs) {
        long endNanos = TimeUnit.MILLISECONDS.toNanos(timeMs);
        while (!events.isEmpty() && events.peek().timeNanos <= endNanos) {
            Event event = events.remove();
            nowNanos = event.timeNanos;
            event.task.run();
        }
        nowNanos = endNanos;
    }

    private record Event(long timeNanos, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(timeNanos, other.timeNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
