package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Bounds what this process sends beyond the first attempt of each request, for each service.
 *
 * <p>All processes together must stay below a fifth of the requests and some tens more in ten seconds. Each process
 * earns a smaller share of its own requests and a small amount with time, so that the sum holds without agreement and
 * also across a partition. Used on the event loop of the forwarding role only.
 */
final class RepeatBudget {

    /** Share of the own requests; below the fifth that the deployments allow, since requests are counted in windows. */
    private static final double SHARE = 0.15;

    /** Repetitions per second that time alone earns, at all processes; with the saved ones below the 58 in 10 s. */
    private static final double PER_SECOND = 2.4;

    /** Repetitions that may be saved at all processes together. */
    private static final double MAX_SAVED = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final LongSupplier nanoTime;
    private final IntSupplier processes;
    private final Map<String, Account> accounts = new HashMap<>();

    RepeatBudget(LongSupplier nanoTime, IntSupplier processes) {
        this.nanoTime = nanoTime;
        this.processes = processes;
    }

    void onRequest(String service) {
        Account account = account(service);
        account.units = Math.min(maxSaved(), account.units + SHARE);
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

    /** Returns what this process may save; a request that fails first must be repeatable at any number of processes. */
    private double maxSaved() {
        return Math.max(1, MAX_SAVED / processes.getAsInt());
    }

    private Account account(String service) {
        long now = nanoTime.getAsLong();
        Account account = accounts.computeIfAbsent(service, id -> new Account(maxSaved(), now));
        double seconds = (now - account.updatedNanos) / NANOS_PER_SECOND;
        account.units = Math.min(maxSaved(), account.units + seconds * PER_SECOND / processes.getAsInt());
        account.updatedNanos = now;
        return account;
    }

    /** What is left for one service. */
    private static final class Account {
        private double units;
        private long updatedNanos;

        Account(double saved, long nowNanos) {
            units = saved;
            updatedNanos = nowNanos;
        }
    }
}
