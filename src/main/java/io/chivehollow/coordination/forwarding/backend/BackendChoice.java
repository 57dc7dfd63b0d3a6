package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;

/**
 * Chooses backend servers.
 *
 * <p>Answers the load of a few busy services by the least known load; equal ones are drawn by lot, so that processes
 * that know the same do not choose the same. Used on the event loop of the forwarding role only.
 */
public final class BackendChoice {

    /** Requests per second that all processes send to a cold backend server; the deployments tolerate 6.9 and 8.8. */
    private static final double COLD_REQUESTS_PER_SECOND = 6;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Weighs requests of other processes, whose size is not known; the mean prompt of both deployments. */
    private static final double MEAN_REQUEST_TOKENS = 5_000;

    /**
     * Wait that is accepted rather than a prefill in another failure domain than that of the decode server.
     *
     * <p>A transfer between domains takes twice as long and costs three times as much.
     */
    private static final double TRANSFER_MS = 36;

    /** Wait for a prefill server above which a decode server, at half the speed, reads a usual prompt sooner. */
    private static final double MAX_PROMPT_WAIT_MS = 200;

    /**
     * Longest prompt that a decode server reads itself.
     *
     * <p>It delays the events of all runs there by 145 to 190 ms, with 50 to 65 ms between events and 300 ms allowed.
     */
    private static final long MAX_OWN_PROMPT_TOKENS = 4_000;

    /** Wait for a prefill server with which a request still meets a target of 0.9 s after a wait for memory. */
    private static final double BUSY_PREFILL_WAIT_MS = 300;

    private final BackendTable table;
    private final RandomGenerator random;
    private final IntSupplier processes;

    private BackendChoice(BackendTable table, RandomGenerator random, IntSupplier processes) {
        this.processes = processes;
        this.table = table;
        this.random = random;
    }

    /**
     * Returns a choice among the servers of the table.
     *
     * @param table the servers
     * @param random draws among equal servers
     * @param processes number of processes that share the rates of cold servers
     */
    public static BackendChoice create(BackendTable table, RandomGenerator random, IntSupplier processes) {
        return new BackendChoice(table, random, processes);
    }

    /** Returns the server of the service that runs the fewest requests, other than the excluded ones. */
    public Optional<Backend> server(
            String service, Set<String> excluded, Predicate<FailureDomain> isOut, long nowNanos) {
        return least(
                candidates(service, EnumSet.of(Stage.PLAIN, Stage.DECODE), excluded, isOut, nowNanos),
                backend -> backend.stage() == Stage.DECODE
                        ? backend.memoryTokens() + backend.requests(nowNanos)
                        : backend.requests(nowNanos));
    }

    /** Returns the server that most likely has the memory, if any has not refused so much just now. */
    public Optional<Backend> memory(String service, long tokens, Predicate<FailureDomain> isOut, long nowNanos) {
        List<Backend> open = filter(
                candidates(service, EnumSet.of(Stage.DECODE), Set.of(), isOut, nowNanos),
                backend -> !backend.lacksMemory(tokens, nowNanos));
        return least(open, backend -> backend.memoryTokens() + backend.requests(nowNanos) * MEAN_REQUEST_TOKENS);
    }

    /**
     * Returns the server that reads the prompt first, rather one in the domain of the target.
     *
     * <p>Returns nothing if the target, a decode server, reads it sooner itself and no other prompt of this process.
     */
    public Optional<Backend> prefill(
            String service,
            long tokens,
            Set<String> excluded,
            Backend target,
            Predicate<FailureDomain> isOut,
            long nowNanos) {
        Optional<Backend> best = least(
                candidates(service, EnumSet.of(Stage.PREFILL), excluded, isOut, nowNanos),
                backend -> promptWaitMs(backend, nowNanos)
                        + (backend.entry().domain().equals(target.entry().domain()) ? 0 : TRANSFER_MS));
        boolean isOwnBetter = isShort(tokens)
                && target.promptTokens() == 0
                && best.isPresent()
                && promptWaitMs(best.get(), nowNanos) > MAX_PROMPT_WAIT_MS;
        return isOwnBetter ? Optional.empty() : best;
    }

    /** Returns whether a decode server may read the prompt beside its runs. */
    public static boolean isShort(long promptTokens) {
        return promptTokens <= MAX_OWN_PROMPT_TOKENS;
    }

    /** Returns whether the prompt would wait long at every prefill server and is too long for a decode server. */
    public boolean isPrefillBusy(String service, long tokens, Predicate<FailureDomain> isOut, long nowNanos) {
        List<Backend> servers = candidates(service, EnumSet.of(Stage.PREFILL), Set.of(), isOut, nowNanos);
        return !isShort(tokens)
                && !servers.isEmpty()
                && servers.stream().allMatch(server -> promptWaitMs(server, nowNanos) > BUSY_PREFILL_WAIT_MS);
    }

    /** Returns how long a further prompt waits, by what this process has sent and by what it has seen. */
    private static double promptWaitMs(Backend backend, long nowNanos) {
        double knownTokens = backend.promptTokens() + backend.otherRequests(nowNanos) * MEAN_REQUEST_TOKENS;
        return Math.max(
                knownTokens / PromptQueue.TOKENS_PER_MS, backend.prompts().waitMs(nowNanos));
    }

    private List<Backend> candidates(
            String service, Set<Stage> stages, Set<String> excluded, Predicate<FailureDomain> isOut, long nowNanos) {
        List<Backend> usable = new ArrayList<>();
        for (Backend backend : table.all()) {
            if (stages.contains(backend.stage())
                    && backend.isUsable()
                    && backend.entry().service().equals(service)
                    && !excluded.contains(backend.id())
                    && !isOut.test(backend.entry().domain())) {
                usable.add(backend);
            }
        }
        List<Backend> warm = filter(usable, backend -> !backend.isCold(nowNanos));
        List<Backend> healthy = filter(warm, backend -> !backend.isSuspect(nowNanos));
        if (!healthy.isEmpty()) {
            return healthy;
        }
        if (!warm.isEmpty()) {
            return warm;
        }
        return filter(usable, backend -> nowNanos - backend.lastColdSendNanos() > coldPauseNanos());
    }

    /** Returns the pause of one process between two requests to a cold server, whose rate all processes share. */
    private double coldPauseNanos() {
        return processes.getAsInt() / COLD_REQUESTS_PER_SECOND * NANOS_PER_SECOND;
    }

    private static List<Backend> filter(List<Backend> backends, Predicate<Backend> condition) {
        return backends.stream().filter(condition).toList();
    }

    private Optional<Backend> least(List<Backend> candidates, ToDoubleFunction<Backend> load) {
        Backend best = null;
        double bestLoad = Double.MAX_VALUE;
        int equals = 0;
        for (Backend candidate : candidates) {
            double value = load.applyAsDouble(candidate);
            if (value < bestLoad) {
                best = candidate;
                bestLoad = value;
                equals = 1;
            } else if (value == bestLoad && random.nextInt(++equals) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}
