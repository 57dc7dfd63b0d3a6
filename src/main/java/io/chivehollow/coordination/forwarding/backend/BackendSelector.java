package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import com.google.common.collect.Sets;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;
import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
import io.chivehollow.coordination.forwarding.locality.DomainCost;
import io.chivehollow.coordination.forwarding.locality.Locality;
import io.chivehollow.coordination.forwarding.speed.ExpectedTime;
import io.chivehollow.coordination.forwarding.speed.TimedChoice;

/**
 * Selects backend servers.
 *
 * <p>Selects the server with the least load that is visible to this process. Ties are resolved at random, so that
 * processes with the same information do not all select the same server. Servers of a service that state the load of
 * their machines are selected by expected time instead. Used on the event loop of the forwarding role only.
 */
public final class BackendSelector {

    /** Requests per second to a cold server whose service does not state how many it tolerates. */
    private static final double DEFAULT_COLD_REQUESTS_PER_SECOND = 6;

    /** Share of the tolerated requests to a cold server that is used; processes may not agree on their number. */
    private static final double COLD_RATE_SHARE = 0.85;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Result of {@link #unavailableNanos} if all servers leave. */
    public static final long NEVER_NANOS = Long.MAX_VALUE;

    /**
     * Additional prompt wait that is accepted to keep the prefill in the failure domain of the decode server, as a
     * share of the target time.
     *
     * <p>A transfer of the KV cache between domains takes twice as long and costs three times as much.
     */
    private static final double CROSS_DOMAIN_TARGET_SHARE = 0.04;

    /**
     * Wait for a prefill server above which the decode server runs a short prefill itself, as a share of the target
     * time.
     */
    private static final double LONG_WAIT_TARGET_SHARE = 2.0 / 9;

    /**
     * Longest wait for a prefill server with which a request that has waited for memory still meets its target, as a
     * share of the target time.
     */
    private static final double BUSY_WAIT_TARGET_SHARE = 1.0 / 3;

    /** Speed of a prefill at a decode server, as a share of that at a prefill server. */
    private static final double DECODE_SERVER_PREFILL_SPEED = 0.5;

    /** Share of the longest pause between events that a prefill at a decode server may take from its runs. */
    private static final double PREFILL_GAP_SHARE = 0.5;

    private static final Set<Role> RUN_ROLES = Sets.immutableEnumSet(Role.PLAIN, Role.DECODE);
    private static final Set<Role> MEMORY_ROLES = Sets.immutableEnumSet(Role.DECODE);

    private final BackendTable table;
    private final RandomGenerator random;
    private final IntSupplier processCount;
    private final ToDoubleFunction<String> coldRequestsPerSecond;
    private final DomainCost domainCost;
    private final Locality locality;
    private final DomainFilter domainFilter;

    private BackendSelector(
            BackendTable table,
            RandomGenerator random,
            IntSupplier processCount,
            ToDoubleFunction<String> coldRequestsPerSecond,
            DomainCost domainCost,
            Locality locality) {
        this.locality = locality;
        this.domainFilter = new DomainFilter(locality);
        this.domainCost = domainCost;
        this.processCount = processCount;
        this.coldRequestsPerSecond = coldRequestsPerSecond;
        this.table = table;
        this.random = random;
    }

    /**
     * Returns a selector among the servers of the table.
     *
     * @param table the backend servers
     * @param random resolves ties
     * @param processCount number of processes that share the request rate of cold servers
     * @param coldRequestsPerSecond requests per second that a cold server of the service tolerates, 0 if not known
     */
    public static BackendSelector create(
            BackendTable table,
            RandomGenerator random,
            IntSupplier processCount,
            ToDoubleFunction<String> coldRequestsPerSecond) {
        return create(table, random, processCount, coldRequestsPerSecond, DomainCost.none());
    }

    /**
     * Returns a selector among the servers of the table that adds the cost of leaving the failure domain of this
     * instance to expected times.
     */
    public static BackendSelector create(
            BackendTable table,
            RandomGenerator random,
            IntSupplier processCount,
            ToDoubleFunction<String> coldRequestsPerSecond,
            DomainCost domainCost) {
        return new BackendSelector(table, random, processCount, coldRequestsPerSecond, domainCost, Locality.off());
    }

    /** Returns a selector that also chooses the failure domain of requests, for services that are chosen by time. */
    public static BackendSelector create(
            BackendTable table,
            RandomGenerator random,
            IntSupplier processCount,
            ToDoubleFunction<String> coldRequestsPerSecond,
            Locality locality) {
        return new BackendSelector(table, random, processCount, coldRequestsPerSecond, locality.cost(), locality);
    }

    /** Returns a selector for services that do not state how many requests a cold server tolerates. */
    public static BackendSelector create(BackendTable table, RandomGenerator random, IntSupplier processCount) {
        return create(table, random, processCount, service -> 0);
    }

    /** Returns the estimates for the servers of the service. */
    public EngineEstimates estimates(String service) {
        return table.estimates(service);
    }

    /** Selects a server for a request whose size does not matter; see the other method. */
    public Optional<Backend> selectServer(
            String service, Set<String> excluded, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        return selectServer(service, 0, excluded, isOutOfService, nowNanos);
    }

    /**
     * Returns the server of the service that may run a request, other than the excluded ones: the least loaded one, or
     * one with a short expected time.
     *
     * @param sizeBytes size of the request
     */
    public Optional<Backend> selectServer(
            String service,
            long sizeBytes,
            Set<String> excluded,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        List<Backend> candidates = candidates(service, RUN_ROLES, excluded, isOutOfService, nowNanos);
        boolean hasMemory = candidates.stream().anyMatch(backend -> backend.role() == Role.DECODE);
        if (!hasMemory && table.choosesByTime(service, nowNanos)) {
            List<Backend> inDomain = domainFilter.narrow(
                    service, candidates, backend -> expectedWaitMs(backend, nowNanos), isOutOfService, nowNanos);
            return chooseByTime(inDomain, sizeBytes, nowNanos);
        }
        return leastLoaded(
                candidates,
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
        boolean isTimed = table.choosesByTime(service, nowNanos);
        List<Backend> candidates = candidates(service, MEMORY_ROLES, Set.of(), isOutOfService, nowNanos);
        List<Backend> inDomain =
                isTimed ? inBestDomain(service, candidates, tokens, isOutOfService, nowNanos) : candidates;
        List<Backend> withMemory = filter(inDomain, backend -> !backend.lacksMemory(tokens, nowNanos));
        if (isTimed) {
            return chooseByTime(likelyFree(withMemory, tokens, nowNanos), 0, nowNanos);
        }
        return leastLoaded(withMemory, backend -> usedMemoryTokens(backend, nowNanos));
    }

    /** Returns the decode servers of the domain in which the request most likely gets memory and its prompt is soon. */
    private List<Backend> inBestDomain(
            String service,
            List<Backend> candidates,
            long tokens,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        if (!locality.isOn()) {
            return candidates;
        }
        Map<FailureDomain, Double> promptTimes = DomainFilter.promptTimes(
                candidates,
                candidates(service, EnumSet.of(Role.PREFILL), Set.of(), isOutOfService, nowNanos),
                server -> expectedWaitMs(server, nowNanos),
                locality.transferCostMs(service, (long) table.estimates(service).meanPromptTokens(), nowNanos));
        boolean hasRoomAnywhere = candidates.stream().anyMatch(backend -> !backend.likelyLacksMemory(tokens, nowNanos));
        return domainFilter.narrow(
                service,
                candidates,
                backend -> hasRoomAnywhere && backend.likelyLacksMemory(tokens, nowNanos)
                                || backend.lacksMemory(tokens, nowNanos)
                        ? Double.POSITIVE_INFINITY
                        : expectedWaitMs(backend, nowNanos)
                                + promptTimes.get(backend.entry().domain()),
                isOutOfService,
                nowNanos);
    }

    private static double usedMemoryTokens(Backend backend, long nowNanos) {
        return backend.memoryTokens()
                + backend.otherRequests(nowNanos) * backend.estimates().meanMemoryTokens();
    }

    /**
     * Returns the servers that hold at most one request more than the emptiest one, without those that have refused a
     * reservation lately unless all have.
     */
    private static List<Backend> likelyFree(List<Backend> all, long tokens, long nowNanos) {
        List<Backend> notRefusing = filter(all, server -> !server.likelyLacksMemory(tokens, nowNanos));
        List<Backend> servers = notRefusing.isEmpty() ? all : notRefusing;
        double leastTokens = servers.stream()
                .mapToDouble(server -> usedMemoryTokens(server, nowNanos))
                .min()
                .orElse(0);
        return filter(
                servers,
                server -> usedMemoryTokens(server, nowNanos)
                        <= leastTokens + server.estimates().meanMemoryTokens());
    }

    /** Returns one of the candidates with a short expected time; those that are too dear count only if all are. */
    private Optional<Backend> chooseByTime(List<Backend> candidates, long sizeBytes, long nowNanos) {
        ToDoubleFunction<Backend> cost =
                backend -> domainCost.leavingMs(backend.entry().domain(), sizeBytes, nowNanos);
        List<Backend> affordable = filter(candidates, backend -> Double.isFinite(cost.applyAsDouble(backend)));
        Optional<Backend> chosen = affordable.isEmpty()
                ? TimedChoice.choose(candidates, backend -> expectedWaitMs(backend, nowNanos), random)
                : TimedChoice.choose(
                        affordable, backend -> expectedWaitMs(backend, nowNanos) + cost.applyAsDouble(backend), random);
        chosen.ifPresent(backend -> table.speeds()
                .onChoice(backend.entry().service(), backend.speed().isReportCurrent(nowNanos)));
        return chosen;
    }

    /**
     * Returns the expected time in milliseconds until the first byte or event of a request at the server, or until the
     * prefill of a usual prompt ends.
     */
    public double expectedWaitMs(Backend backend, long nowNanos) {
        if (backend.role() == Role.PREFILL) {
            return prefillMs(backend, (long) backend.estimates().meanPromptTokens(), nowNanos);
        }
        return ExpectedTime.ms(
                backend.workTimes().firstOutputMs(),
                backend.speed().slowness(nowNanos),
                backend.requests(nowNanos),
                backend.slots());
    }

    /**
     * Returns the prefill server with the shortest wait for the prompt; servers in the domain of the decode server are
     * preferred.
     *
     * <p>Returns an empty value if no prefill server is available, or if the decode server completes the prefill sooner
     * itself and has no other prompt of this process.
     */
    public Optional<Backend> selectPrefillServer(
            PromptDemand demand,
            Set<String> excluded,
            Backend decodeServer,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        boolean isTimed = table.choosesByTime(demand.service(), nowNanos);
        List<Backend> servers =
                candidates(demand.service(), EnumSet.of(Role.PREFILL), excluded, isOutOfService, nowNanos);
        ToDoubleFunction<Backend> timeMs =
                backend -> isTimed ? prefillMs(backend, demand.tokens(), nowNanos) : promptWaitMs(backend, 1, nowNanos);
        double transferMs = isTimed && locality.isOn()
                ? locality.transferCostMs(demand.service(), demand.tokens(), nowNanos)
                : demand.targetMs() * CROSS_DOMAIN_TARGET_SHARE;
        FailureDomain decodeDomain = decodeServer.entry().domain();
        Optional<Backend> affordable = leastLoaded(
                servers,
                backend -> timeMs.applyAsDouble(backend)
                        + (backend.entry().domain().equals(decodeDomain) ? 0 : transferMs));
        Optional<Backend> best = affordable.isPresent() ? affordable : leastLoaded(servers, timeMs);
        boolean isDecodeServerFaster = isShortPrompt(demand)
                && decodeServer.promptTokens() == 0
                && best.isPresent()
                && promptWaitMs(best.get(), isTimed ? best.get().speed().slowness(nowNanos) : 1, nowNanos)
                        > demand.targetMs() * LONG_WAIT_TARGET_SHARE;
        return isDecodeServerFaster ? Optional.empty() : best;
    }

    /** Returns whether a decode server may run the prefill beside its runs, whose events it delays. */
    public boolean isShortPrompt(PromptDemand demand) {
        double decodeServerSpeed = table.estimates(demand.service()).prefillTokensPerMs() * DECODE_SERVER_PREFILL_SPEED;
        return demand.tokens() <= demand.gapMs() * PREFILL_GAP_SHARE * decodeServerSpeed;
    }

    /** Returns whether the prompt is too long for a decode server and would wait too long at every prefill server. */
    public boolean isPrefillBusy(PromptDemand demand, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        List<Backend> servers =
                candidates(demand.service(), EnumSet.of(Role.PREFILL), Set.of(), isOutOfService, nowNanos);
        double maxWaitMs = demand.targetMs() * BUSY_WAIT_TARGET_SHARE;
        return !isShortPrompt(demand)
                && !servers.isEmpty()
                && servers.stream().allMatch(server -> promptWaitMs(server, 1, nowNanos) > maxWaitMs);
    }

    /**
     * Returns how long in milliseconds a further prompt waits, as the larger of two estimates: from the open requests
     * at the server, and from the observed times of this process's prompts.
     */
    private static double promptWaitMs(Backend backend, double slowness, long nowNanos) {
        EngineEstimates estimates = backend.estimates();
        double queuedTokens = backend.promptTokens() + backend.otherRequests(nowNanos) * estimates.meanPromptTokens();
        return Math.max(
                queuedTokens / estimates.prefillTokensPerMs() * slowness,
                backend.promptQueue().waitMs(nowNanos, slowness));
    }

    /** Returns the time in milliseconds until a prompt of the given size is processed. */
    private static double prefillMs(Backend backend, long tokens, long nowNanos) {
        double slowness = backend.speed().slowness(nowNanos);
        return promptWaitMs(backend, slowness, nowNanos) + backend.promptQueue().processingMs(tokens) * slowness;
    }

    /**
     * Returns the time until a server of the service that may run requests accepts new work, as far as the servers have
     * stated it.
     *
     * @param isMemoryNeeded whether the request needs memory of a decode server
     * @return 0 if a server accepts work or none has stated anything, {@link #NEVER_NANOS} if all of them leave
     */
    public long unavailableNanos(
            String service, boolean isMemoryNeeded, Predicate<FailureDomain> isOutOfService, long nowNanos) {
        Set<Role> roles = isMemoryNeeded ? MEMORY_ROLES : RUN_ROLES;
        boolean hasLeaving = false;
        long shortestNanos = NEVER_NANOS;
        for (Backend backend : table.all()) {
            if (roles.contains(backend.role()) && backend.entry().service().equals(service)) {
                if (backend.isUsable() && !isOutOfService.test(backend.entry().domain())) {
                    shortestNanos = Math.min(shortestNanos, backend.heldNanos(nowNanos));
                }
                hasLeaving |= backend.isLeaving();
            }
        }
        return shortestNanos == NEVER_NANOS && !hasLeaving ? 0 : shortestNanos;
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
                    && backend.mayReceive(nowNanos)
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
        double coldIntervalNanos = coldIntervalNanos(service);
        return filter(usable, backend -> nowNanos - backend.lastColdSendNanos() > coldIntervalNanos);
    }

    /** Returns the interval between two requests of this process to a cold server, whose rate all processes share. */
    private double coldIntervalNanos(String service) {
        double stated = coldRequestsPerSecond.applyAsDouble(service);
        double perSecond = stated > 0 ? stated * COLD_RATE_SHARE : DEFAULT_COLD_REQUESTS_PER_SECOND;
        return processCount.getAsInt() / perSecond * NANOS_PER_SECOND;
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
