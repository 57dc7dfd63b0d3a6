package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Limits the retries of this process for each service.
 *
 * <p>The retries of all processes together must stay within the limits of the platform. Each process earns retries as a
 * part of the share of its own requests and as a small amount per second, so that the sum stays below the limit without
 * coordination, also during a partition. Used on the event loop of the forwarding role only.
 */
final class RetryBudget {

    /** Part of the share that is used, because requests are counted in windows. */
    private static final double USED_SHARE = 0.75;

    /** Part of the slack that all processes together may accumulate. */
    private static final double ACCUMULATED_SLACK = 0.55;

    /** Retries that are kept for requests that cannot continue without one; fewer if less may be accumulated. */
    private static final double RESERVE = 1;

    /** Part of the slack that all processes together earn in a window; with the accumulated one below the slack. */
    private static final double EARNED_SLACK = 0.41;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RetryLimits limits;
    private final LongSupplier nanoTime;
    private final IntSupplier processCount;
    private final Map<String, Balance> balances = new HashMap<>();

    RetryBudget(RetryLimits limits, LongSupplier nanoTime, IntSupplier processCount) {
        this.limits = limits;
        this.nanoTime = nanoTime;
        this.processCount = processCount;
    }

    void onRequest(String service) {
        Balance balance = balance(service);
        balance.retries = Math.min(maxAccumulated(), balance.retries + limits.share() * USED_SHARE);
    }

    /** Takes one retry from the budget; returns false if there is none. */
    boolean tryAcquire(String service) {
        return tryAcquire(service, 1);
    }

    /**
     * Takes one retry from the budget for a request that can continue without it; returns false if only the reserve is
     * left.
     *
     * <p>A prompt whose prefill server fails can be processed by its decode server. If such prompts use up the budget
     * while servers crash, requests whose prompt has been processed are refused when their decode server is lost.
     */
    boolean tryAcquireSpare(String service) {
        return tryAcquire(service, Math.min(maxAccumulated(), 1 + RESERVE));
    }

    private boolean tryAcquire(String service, double minRetries) {
        Balance balance = balance(service);
        if (balance.retries < minRetries) {
            return false;
        }
        balance.retries -= 1;
        return true;
    }

    /**
     * Returns how many retries this process may accumulate; at least one, so that the first failed request can be
     * retried at any number of processes.
     */
    private double maxAccumulated() {
        return Math.max(1, limits.slack() * ACCUMULATED_SLACK / processCount.getAsInt());
    }

    private Balance balance(String service) {
        long now = nanoTime.getAsLong();
        Balance balance = balances.computeIfAbsent(service, id -> new Balance(maxAccumulated(), now));
        double seconds = (now - balance.updatedNanos) / NANOS_PER_SECOND;
        double earnedPerSecond = limits.slack() * EARNED_SLACK / limits.windowSeconds() / processCount.getAsInt();
        balance.retries = Math.min(maxAccumulated(), balance.retries + seconds * earnedPerSecond);
        balance.updatedNanos = now;
        return balance;
    }

    /** The available retries of one service. */
    private static final class Balance {
        private double retries;
        private long updatedNanos;

        Balance(double initialRetries, long nowNanos) {
            retries = initialRetries;
            updatedNanos = nowNanos;
        }
    }
}
