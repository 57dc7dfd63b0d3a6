package io.chivehollow.base;

/**
 * Reads the clock of the operating system.
 *
 * <p>Stateless and thread-safe.
 */
enum SystemClock implements Clock {
    INSTANCE;

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long currentTimeMs() {
        return System.currentTimeMillis();
    }
}
