package io.chivehollow.runtime;

import java.util.concurrent.atomic.LongAdder;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Queues log events for the thread that writes them, and discards events while the queue is full.
 *
 * <p>Invariant: logging never blocks on the output, so that a slow reader of the log does not slow down requests;
 * discarded events are counted. Thread-safe.
 */
final class BoundedAppender extends AsyncAppender {

    /** About 4 s of log at the peak load of the largest installation, with one line per request; takes 2 MB. */
    private static final int QUEUE_CAPACITY = 4_096;

    private static final LongAdder DISCARDED_EVENTS = new LongAdder();

    BoundedAppender() {
        setName("BOUNDED");
        setQueueSize(QUEUE_CAPACITY);
        setNeverBlock(true);
        // A full queue discards events of all levels; by default a nearly full queue discards those below WARN.
        setDiscardingThreshold(0);
    }

    /** Returns the number of log events that this process has discarded. */
    static long discardedCount() {
        return DISCARDED_EVENTS.sum();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DISCARDED_EVENTS.increment();
        } else {
            super.append(event);
        }
    }
}
