package io.chivehollow.coordination.sidecar;

import java.util.function.BooleanSupplier;

/** Waits for conditions; the time limit is far above what any run needs, so that no result depends on timing. */
final class Await {

    private static final long LIMIT_MS = 60_000;
    private static final long PAUSE_MS = 2;

    private Await() {}

    static void until(String description, BooleanSupplier condition) {
        long endMs = System.nanoTime() / 1_000_000 + LIMIT_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() / 1_000_000 > endMs) {
                throw new AssertionError("condition not met within 60 s: " + description);
            }
            pause(PAUSE_MS);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
