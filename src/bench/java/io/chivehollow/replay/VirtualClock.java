package io.chivehollow.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

import io.chivehollow.base.Clock;

/**
 * A clock on virtual time with a queue of scheduled events.
 *
 * <p>Events at the same time run in the order in which they were added, so that every run of a trace gives the same
 * result. Not thread-safe.
 */
final class VirtualClock implements Clock {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeUs).thenComparingLong(Event::number));
    private long nowUs;
    private long nextNumber;

    static long msToUs(double ms) {
        return Math.round(ms * 1_000);
    }

    long nowUs() {
        return nowUs;
    }

    void scheduleAt(long timeUs, Runnable action) {
        events.add(new Event(Math.max(timeUs, nowUs), nextNumber++, action));
    }

    void scheduleAfter(long delayUs, Runnable action) {
        scheduleAt(nowUs + delayUs, action);
    }

    /** Runs all events up to and including the given time, and sets the clock to it. */
    void runUntil(long endUs) {
        while (!events.isEmpty() && events.peek().timeUs() <= endUs) {
            Event event = events.remove();
            nowUs = event.timeUs();
            event.action().run();
        }
        nowUs = endUs;
    }

    @Override
    public long nanoTime() {
        return nowUs * 1_000;
    }

    @Override
    public long currentTimeMs() {
        return nowUs / 1_000;
    }

    private record Event(long timeUs, long number, Runnable action) {}
}
