package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Limits the retries of this process for each service.
 *
 * <p>The retries of all processes together must stay below a fifth of the requests plus 58 in ten seconds. Each process
 * earns retries as a smaller share of its own requests and as a small amount per second, so that the sum stays below
 * the limit without coordination, also during a partition. Used on the event loop of the forwarding role only.
 */
final class RetryBudget {

    /**
     * Retries earned for each request of this process; below the fifth that the users' installations allow, because
     * requests are counted in windows.
     */
    private static final double RETRIES_PER_REQUEST = 0.15;

    /**
     * Retries per second that all processes together earn over time. In 10 s these are 24, which together with the 32
     * accumulated ones stay below the limit of 58 in 10 s that is added to a fifth of the requests.
     */
    private static final double RETRIES_PER_SECOND = 2.4;

    /** Retries that all processes together may accumulate. */
    private static final double MAX_ACCUMULATED = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final LongSupplier nanoTime;
    private final IntSupplier processCount;
    private final Map<String, Balance> balances = new HashMap<>();

    RetryBudget(LongSupplier nanoTime, IntSupplier processCount) {
        this.nanoTime = nanoTime;
        this.processCount = processCount;
    }

    void onRequest(String service) {
        Balance balance = balance(service);
        balance.retries = Math.min(maxAccumulated(), balance.retries + RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget; returns false if there is none. */
    boolean tryAcquire(String service) {
        Balance balance = balance(service);
        if (balance.retries < 1) {
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
        return Math.max(1, MAX_ACCUMULATED / processCount.getAsInt());
    }

    private Balance balance(String service) {
        long now = nanoTime.getAsLong();
        Balance balance = balances.computeIfAbsent(service, id -> new Balance(maxAccumulated(), now));
        double seconds = (now - balance.updatedNanos) / NANOS_PER_SECOND;
        balance.retries =
                Math.min(maxAccumulated(), balance.retries + seconds * RETRIES_PER_SECOND / processCount.getAsInt());
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
