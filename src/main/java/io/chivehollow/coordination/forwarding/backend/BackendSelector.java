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
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;

/**
 * Selects backend servers.
 *
 * <p>Selects the server with the least load that is visible to this process. Ties are resolved at random, so that
 * processes with the same information do not all select the same server. Used on the event loop of the forwarding role
 * only.
 */
public final class BackendSelector {

    /**
     * Requests per second that all processes together send to a cold backend server; the users' two installations
     * tolerate 6.9 and 8.8.
     */
    private static final double COLD_REQUESTS_PER_SECOND = 6;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Assumed prompt size in tokens of requests of other processes, whose size is unknown; the mean of the users'
     * two installations.
     */
    private static final double MEAN_REQUEST_TOKENS = 5_000;

    /**
     * Additional prompt wait in milliseconds that is accepted to keep the prefill in the failure domain of the decode
     * server.
     *
     * <p>A transfer of the KV cache between domains takes twice as long and costs three times as much.
     */
    private static final double CROSS_DOMAIN_PENALTY_MS = 36;

    /**
     * Wait for a prefill server above which the decode server, at half the speed, completes a typical prefill sooner.
     */
    private static final double MAX_PROMPT_WAIT_MS = 200;

    /**
     * Longest prompt for which a decode server runs the prefill itself.
     *
     * <p>Such a prefill delays the events of all runs at that server by 145 to 190 ms; the time between events is 50 to
     * 65 ms, and 300 ms are allowed.
     */
    private static final long MAX_DECODE_SERVER_PROMPT_TOKENS = 4_000;

    /**
     * Longest wait for a prefill server with which a request still meets a target of 0.9 s after it has waited for
     * memory.
     */
    private static final double BUSY_PREFILL_WAIT_MS = 300;

    private final BackendTable table;
    private final RandomGenerator random;
    private final IntSupplier processCount;

    private BackendSelector(BackendTable table, RandomGenerator random, IntSupplier processCount) {
        this.processCount = processCount;
        this.table = table;
        this.random = random;
    }

    /**
     * Returns a selector among the servers of the table.
     *
     * @param table the backend servers
     * @param random resolves ties
     * @param processCount number of processes that share the request rate of cold servers
     */
    public static BackendSelector create(BackendTable table, RandomGenerator random, IntSupplier processCount) {
        return new BackendSelector(table, random, processCount);
    }

    /** Returns the least loaded server of the service that may run a request, other than the excluded ones. */
    public Optional<Backend> selectServer(
            String service, Set<String> excluded, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        return leastLoaded(
                candidates(service, EnumSet.of(Role.PLAIN, Role.DECODE), excluded, isOutOfService, nowNanos),
                backend -> backend.role() == Role.DECODE
                        ? backend.memoryTokens() + backend.requests(nowNanos)
                        : backend.requests(nowNanos));
    }

    /**
     * Returns the decode server that most likely has the memory, or an empty value if none is available or if all of
     * them have recently refused a reservation of at most this size.
     */
    public Optional<Backend> selectForMemory(
            String service, long tokens, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        List<Backend> withMemory = filter(
                candidates(service, EnumSet.of(Role.DECODE), Set.of(), isOutOfService, nowNanos),
                backend -> !backend.lacksMemory(tokens, nowNanos));
        return leastLoaded(
                withMemory, backend -> backend.memoryTokens() + backend.requests(nowNanos) * MEAN_REQUEST_TOKENS);
    }

    /**
     * Returns the prefill server with the shortest wait for the prompt; servers in the domain of the decode server are
     * preferred.
     *
     * <p>Returns an empty value if no prefill server is available, or if the decode server completes the prefill sooner
     * itself and has no other prompt of this process.
     */
    public Optional<Backend> selectPrefillServer(
            String service,
            long tokens,
            Set<String> excluded,
            Backend decodeServer,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        Optional<Backend> best = leastLoaded(
                candidates(service, EnumSet.of(Role.PREFILL), excluded, isOutOfService, nowNanos),
                backend -> promptWaitMs(backend, nowNanos)
                        + (backend.entry().domain().equals(decodeServer.entry().domain())
                                ? 0
                                : CROSS_DOMAIN_PENALTY_MS));
        boolean isDecodeServerFaster = isShortPrompt(tokens)
                && decodeServer.promptTokens() == 0
                && best.isPresent()
                && promptWaitMs(best.get(), nowNanos) > MAX_PROMPT_WAIT_MS;
        return isDecodeServerFaster ? Optional.empty() : best;
    }

    /** Returns whether a decode server may run the prefill beside its runs. */
    public static boolean isShortPrompt(long promptTokens) {
        return promptTokens <= MAX_DECODE_SERVER_PROMPT_TOKENS;
    }

    /** Returns whether the prompt is too long for a decode server and would wait too long at every prefill server. */
    public boolean isPrefillBusy(String service, long tokens, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        List<Backend> servers = candidates(service, EnumSet.of(Role.PREFILL), Set.of(), isOutOfService, nowNanos);
        return !isShortPrompt(tokens)
                && !servers.isEmpty()
                && servers.stream().allMatch(server -> promptWaitMs(server, nowNanos) > BUSY_PREFILL_WAIT_MS);
    }

    /**
     * Returns how long in milliseconds a further prompt waits, as the larger of two estimates: from the open requests
     * at the server, and from the observed times of this process's prompts.
     */
    private static double promptWaitMs(Backend backend, long nowNanos) {
        double queuedTokens = backend.promptTokens() + backend.otherRequests(nowNanos) * MEAN_REQUEST_TOKENS;
        return Math.max(
                queuedTokens / PromptQueue.PREFILL_TOKENS_PER_MS,
                backend.promptQueue().waitMs(nowNanos));
    }

    private List<Backend> candidates(
            String service,
            Set<Role> roles,
            Set<String> excluded,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        List<Backend> usable = new ArrayList<>();
        for (Backend backend : table.all()) {
            if (roles.contains(backend.role())
                    && backend.isUsable()
                    && backend.entry().service().equals(service)
                    && !excluded.contains(backend.id())
                    && !isOutOfService.test(backend.entry().domain())) {
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
        return filter(usable, backend -> nowNanos - backend.lastColdSendNanos() > coldIntervalNanos());
    }

    /** Returns the interval between two requests of this process to a cold server, whose rate all processes share. */
    private double coldIntervalNanos() {
        return processCount.getAsInt() / COLD_REQUESTS_PER_SECOND * NANOS_PER_SECOND;
    }

    private static List<Backend> filter(List<Backend> backends, Predicate<Backend> condition) {
        return backends.stream().filter(condition).toList();
    }

    private Optional<Backend> leastLoaded(List<Backend> candidates, ToDoubleFunction<Backend> load) {
        Backend best = null;
        double bestLoad = Double.MAX_VALUE;
        int ties = 0;
        for (Backend candidate : candidates) {
            double value = load.applyAsDouble(candidate);
            if (value < bestLoad) {
                best = candidate;
                bestLoad = value;
                ties = 1;
            } else if (value == bestLoad && random.nextInt(++ties) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}
