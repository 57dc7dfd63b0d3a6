package io.chivehollow.base;

import java.util.concurrent.TimeUnit;

/**
 * A source of time.
 *
 * <p>Implementations are thread-safe. {@link #nanoTime} never decreases; {@link #currentTimeMs} may.
 */
public interface Clock {

    /** Returns a monotonic time in nanoseconds; only differences between two values are meaningful. */
    long nanoTime();

    /** Returns the wall-clock time in milliseconds since the Unix epoch. */
    long currentTimeMs();

    /** Returns {@link #nanoTime} in milliseconds. */
    default long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime());
    }

    /** Returns the clock of the operating system. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
