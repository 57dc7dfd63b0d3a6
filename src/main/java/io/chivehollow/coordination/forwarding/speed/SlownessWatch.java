package io.chivehollow.coordination.forwarding.speed;

import java.util.concurrent.TimeUnit;

/**
 * Notices when a server has been slow, or usual again, for long.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
public final class SlownessWatch {

    /** Slowness from which a server counts as slow; it then serves less than half of its usual requests. */
    static final double SLOW = 2.5;

    /** Slowness below which a slow server counts as usual again; lower, so that the state does not change often. */
    static final double USUAL = 1.5;

    /** Time after which a change is noticed. */
    static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(5);

    private boolean isSlow;
    private boolean isChanging;
    private long changeNanos;

    private SlownessWatch() {}

    /** Returns a watch of a server that is not slow. */
    public static SlownessWatch create() {
        return new SlownessWatch();
    }

    /** Records the slowness now; returns whether {@link #isSlow} has changed. */
    public boolean update(double slowness, long nowNanos) {
        boolean differs = isSlow ? slowness < USUAL : slowness > SLOW;
        if (!differs) {
            isChanging = false;
            return false;
        }
        if (!isChanging) {
            isChanging = true;
            changeNanos = nowNanos;
        }
        if (nowNanos - changeNanos < LONG_NANOS) {
            return false;
        }
        isChanging = false;
        isSlow = !isSlow;
        return true;
    }

    /** Returns whether the server has been slow for long. */
    public boolean isSlow() {
        return isSlow;
    }
}
