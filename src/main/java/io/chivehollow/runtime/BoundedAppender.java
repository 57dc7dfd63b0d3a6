package io.chivehollow.runtime;

import java.util.concurrent.atomic.LongAdder;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Hands log events to the thread that writes them, and drops those for which there is no room.
 *
 * <p>Invariant: logging never waits for the output, so that a slow reader of the log does not slow down requests; what
 * is dropped is counted. Thread-safe.
 */
final class BoundedAppender extends AsyncAppender {

    /** About four seconds of one line a request at the peak of the largest deployment, 2 MB. */
    private static final int QUEUED_EVENTS = 4_096;

    private static final LongAdder DROPPED = new LongAdder();

    BoundedAppender() {
        setName("BOUNDED");
        setQueueSize(QUEUED_EVENTS);
        setNeverBlock(true);
        // All levels are dropped alike; by default a nearly full queue drops only those below warnings.
        setDiscardingThreshold(0);
    }

    /** Returns how many events of this process were dropped. */
    static long dropped() {
        return DROPPED.sum();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.increment();
        } else {
            super.append(event);
        }
    }
}
