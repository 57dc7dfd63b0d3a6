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
     * Prompt tokens that may wait rather than be read in another failure domain than that of the decode server.
     *
     * <p>A transfer between domains takes twice as long and costs three times as much; 2,000 tokens take 36 ms.
     */
    private static final double TRANSFER_TOKENS = 2_000;

    /** Prompts at one server above which a further one waits longer than the half speed of a decode server costs. */
    private static final int MAX_PROMPTS = 4;

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
     * Returns the server that has the fewest prompt tokens to read, rather one in the domain of the target.
     *
     * <p>Returns nothing if all have so many prompts that the decode server reads this one sooner itself.
     */
    public Optional<Backend> prefill(
            String service, Set<String> excluded, FailureDomain target, Predicate<FailureDomain> isOut, long nowNanos) {
        List<Backend> open = filter(
                candidates(service, EnumSet.of(Stage.PREFILL), excluded, isOut, nowNanos),
                backend -> backend.requests(nowNanos) < MAX_PROMPTS);
        return least(
                open,
                backend -> backend.promptTokens()
                        + backend.otherRequests(nowNanos) * MEAN_REQUEST_TOKENS
                        + (backend.entry().domain().equals(target) ? 0 : TRANSFER_TOKENS));
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
