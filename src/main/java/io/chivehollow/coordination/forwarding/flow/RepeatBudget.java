package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Bounds what this process sends beyond the first attempt of each request, for each service.
 *
 * <p>All processes together must stay below a fifth of the requests and some tens more in ten seconds. Each process
 * earns a smaller share of its own requests and a small amount with time, so that the sum holds without agreement and
 * also across a partition. Used on the event loop of the forwarding role only.
 */
final class RepeatBudget {

    /** Share of the own requests; below the fifth that the sites allow, since requests are counted in windows. */
    private static final double SHARE = 0.15;

    /** Repetitions that time alone earns; 29 processes earn 58 of the 90 that the largest site adds in ten seconds. */
    private static final double PER_SECOND = 0.2;

    /** Repetitions that may be saved; 8 processes with this many stay below the 58 of the smallest site. */
    private static final double MAX_SAVED = 4;

    private final LongSupplier nanoTime;
    private final Map<String, Account> accounts = new HashMap<>();

    RepeatBudget(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    void onRequest(String service) {
        Account account = account(service);
        account.units = Math.min(MAX_SAVED, account.units + SHARE);
    }

    /** Takes one repetition if there is one. */
    boolean take(String service) {
        Account account = account(service);
        if (account.units < 1) {
            return false;
        }
        account.units -= 1;
        return true;
    }

    private Account account(String service) {
        long now = nanoTime.getAsLong();
        Account account = accounts.computeIfAbsent(service, id -> new Account(now));
        account.units = Math.min(MAX_SAVED, account.units + (now - account.updatedNanos) / 1e9 * PER_SECOND);
        account.updatedNanos = now;
        return account;
    }

    /** What is left for one service. */
    private static final class Account {
        private double units = MAX_SAVED;
        private long updatedNanos;

        Account(long nowNanos) {
            updatedNanos = nowNanos;
        }
    }
}
