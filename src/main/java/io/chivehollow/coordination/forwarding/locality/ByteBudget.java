package io.chivehollow.coordination.forwarding.locality;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds the bytes per second that leave the failure domain.
 *
 * <p>Responses are larger or smaller than expected, so that bytes are subtracted when they are sent or received and may
 * exceed the balance; no further request leaves until the excess is paid off. In any interval, at most the rate times
 * its length, one second's burst and the bytes of the requests that are open leave. Used on the event loop of the
 * forwarding role only.
 */
final class ByteBudget {

    /** Bytes that may leave at once, as a time of the rate in seconds. */
    private static final double BURST_S = 1;

    private static final double NANOS_PER_S = 1e9;

    private final long bytesPerSecond;
    private double balanceBytes;
    private long lastNanos;
    private boolean hasStarted;

    /** Creates a budget that is full; a rate of 0 stands for no bound. */
    ByteBudget(long bytesPerSecond) {
        checkArgument(bytesPerSecond >= 0, "bytesPerSecond must not be negative, but was %s", bytesPerSecond);
        this.bytesPerSecond = bytesPerSecond;
        this.balanceBytes = bytesPerSecond * BURST_S;
    }

    /** Returns whether a request of this size may leave; one that exceeds the burst needs a full budget. */
    boolean has(long bytes, long nowNanos) {
        if (bytesPerSecond == 0) {
            return true;
        }
        refill(nowNanos);
        return balanceBytes >= Math.min(bytes, bytesPerSecond * BURST_S);
    }

    /** Subtracts bytes that have left or entered. */
    void onBytes(long bytes, long nowNanos) {
        if (bytesPerSecond > 0) {
            refill(nowNanos);
            balanceBytes -= bytes;
        }
    }

    private void refill(long nowNanos) {
        double elapsedS = hasStarted ? Math.max(0, nowNanos - lastNanos) / NANOS_PER_S : 0;
        hasStarted = true;
        lastNanos = nowNanos;
        balanceBytes = Math.min(bytesPerSecond * BURST_S, balanceBytes + elapsedS * bytesPerSecond);
    }
}
