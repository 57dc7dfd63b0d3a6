package io.chivehollow.coordination.forwarding.locality;

import java.util.concurrent.TimeUnit;

/**
 * The share of a service's requests that leaves the failure domain.
 *
 * <p>Load figures reach the processes late and all of them at the same time; requests that followed the figures one by
 * one would all leave together and all return together. The share therefore moves by bounded steps, and small
 * differences do not move it. Used on the event loop of the forwarding role only.
 */
final class LeavingShare {

    /** Largest change of the share per second; the effect of a change is seen after some hundred milliseconds. */
    static final double MAX_CHANGE_PER_S = 0.5;

    /** Difference between the share and its desired value that does not move it. */
    static final double DEAD_BAND = 0.05;

    /** Time between two requests above which no more change is made up for. */
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final double NANOS_PER_S = 1e9;

    private double share;
    private double credit;
    private long lastNanos;
    private boolean hasStarted;

    /** Moves the share towards the desired value, from 0 to 1. */
    void moveTowards(double desired, long nowNanos) {
        long elapsedNanos = hasStarted ? Math.max(0, Math.min(MAX_STEP_NANOS, nowNanos - lastNanos)) : 0;
        hasStarted = true;
        lastNanos = nowNanos;
        double difference = desired - share;
        boolean isAtEnd = desired == 0 || desired == 1;
        if (Math.abs(difference) < DEAD_BAND && !isAtEnd) {
            return;
        }
        double maxStep = MAX_CHANGE_PER_S * elapsedNanos / NANOS_PER_S;
        share += Math.max(-maxStep, Math.min(maxStep, difference));
    }

    /** Returns whether the next request leaves; the requests that leave are spread evenly over all. */
    boolean takeNext() {
        credit += share;
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

    double value() {
        return share;
    }
}
