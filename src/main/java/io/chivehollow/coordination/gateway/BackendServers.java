package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.Clock;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.coordination.placement.Subset;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Pool;

/**
 * Stores the last reported load of each backend server and ranks the servers for a request.
 *
 * <p>Thread-safe. A server that is draining or whose failure domain is out of service, according to the configuration,
 * is never returned.
 */
final class BackendServers {

    /** Number of backend servers ranked at a time; a request tries these before it tries others, waits or fails. */
    static final int MAX_CANDIDATES = 3;

    /**
     * Time after which a server's report that it is draining is ignored, so that the server is tried again. It exceeds
     * the staleness bound of the configuration.
     */
    private static final int DRAINING_REPORT_VALIDITY_MS = 3_000;

    /** Load assumed for a server that has not reported any yet: the placement policy treats the server as free. */
    private static final Load UNKNOWN_LOAD = new Load(1 << 20, 1 << 20, 0, 0, 0, 1, false, false);

    /** Age above which a reported queue time is ignored, because it says little about the current queue. */
    private static final long MAX_WAIT_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long UNKNOWN_LOAD_AGE_MS = 60_000;

    private final InstanceId instance;
    private final int subsetTotal;
    private final PlacementPolicy policy;
    private final RandomGenerator random;
    private final Clock clock;
    private final Map<BackendServerId, ReceivedLoad> reports = new ConcurrentHashMap<>();
    private volatile Subsets subsets = new Subsets(-1, Map.of());
    private final PrefixLocations prefillPrefixes = new PrefixLocations();
    private final PrefixLocations decodePrefixes = new PrefixLocations();

    BackendServers(InstanceId instance, int subsetTotal, PlacementPolicy policy, RandomGenerator random, Clock clock) {
        this.instance = instance;
        this.subsetTotal = subsetTotal;
        this.policy = policy;
        this.random = random;
        this.clock = clock;
    }

    /** Returns the servers of the subset in the order in which to try them, at most {@link #MAX_CANDIDATES}. */
    List<Target> rank(
            Configuration configuration, List<Pool> pools, PlacementRequest request, List<Long> prefixHashes) {
        List<Target> targets = pools.stream()
                .flatMap(pool -> poolServers(configuration, pool).subset().stream())
                .toList();
        return rank(configuration, targets, request, prefixHashes, Set.of());
    }

    /**
     * Returns servers of the pools, in the subset or not, that have not been tried, at most {@link #MAX_CANDIDATES}.
     *
     * <p>Used when the servers of the subset have refused, so that a request is refused only if the pools are full.
     */
    List<Target> rankUntried(
            Configuration configuration,
            List<Pool> pools,
            PlacementRequest request,
            List<Long> prefixHashes,
            Set<BackendServerId> tried) {
        List<Target> targets = pools.stream()
                .flatMap(pool -> poolServers(configuration, pool).all().stream())
                .toList();
        return rank(configuration, targets, request, prefixHashes, tried);
    }

    private List<Target> rank(
            Configuration configuration,
            List<Target> targets,
            PlacementRequest request,
            List<Long> prefixHashes,
            Set<BackendServerId> excluded) {
        PrefixLocations prefixes =
                request.role() == PlacementRequest.ServerRole.DECODE ? decodePrefixes : prefillPrefixes;
        Map<BackendServerId, Target> usable = new HashMap<>();
        List<Candidate> candidates = new ArrayList<>();
        for (Target target : targets) {
            boolean isUsable = isInService(configuration, target) && !excluded.contains(target.id());
            if (isUsable && usable.putIfAbsent(target.id(), target) == null) {
                candidates.add(candidate(target, prefixes.cachedTokens(target.id(), prefixHashes)));
            }
        }
        return policy.rank(request, candidates, random).stream()
                .limit(MAX_CANDIDATES)
                .map(candidate -> usable.get(candidate.server()))
                .toList();
    }

    private static boolean isInService(Configuration configuration, Target target) {
        return !configuration.isOutOfService(target.domain()) && !configuration.isDraining(target.id());
    }

    private PoolServers poolServers(Configuration configuration, Pool pool) {
        Subsets current = subsets;
        if (current.version() != configuration.version()) {
            current = new Subsets(configuration.version(), new ConcurrentHashMap<>());
            subsets = current;
            removeUnlistedServers(configuration);
        }
        return current.byPool().computeIfAbsent(pool.getId(), id -> chooseSubset(configuration, pool));
    }

    /**
     * Returns all servers of a pool, and the subset of them to which this instance connects.
     *
     * <p>The subset is chosen from all servers of the pool, whether in service or not, so that the connections to a
     * failure domain still exist when it returns to service. If fewer than {@link Subset#MIN_PER_POOL} of the subset
     * are in service, other servers in service are added: as many as are missing if at least one of the subset is in
     * service, and a whole subset if none is.
     */
    private PoolServers chooseSubset(Configuration configuration, Pool pool) {
        Map<BackendServerId, Target> all = new LinkedHashMap<>();
        Map<BackendServerId, FailureDomain> domains = new LinkedHashMap<>();
        Map<BackendServerId, FailureDomain> inService = new LinkedHashMap<>();
        for (BackendServer server : pool.getServersList()) {
            Target target = toTarget(server);
            all.put(target.id(), target);
            domains.put(target.id(), target.domain());
            if (isInService(configuration, target)) {
                inService.put(target.id(), target.domain());
            }
        }
        int size = Subset.sizePerPool(subsetTotal, configuration.state().getPoolsCount());
        Set<BackendServerId> chosen = new LinkedHashSet<>(Subset.choose(instance, domains, size));
        long usable = chosen.stream().filter(inService::containsKey).count();
        if (usable < Subset.MIN_PER_POOL) {
            int missing = usable == 0 ? size : Subset.MIN_PER_POOL - (int) usable;
            Subset.choose(instance, inService, Math.max(1, inService.size())).stream()
                    .filter(id -> !chosen.contains(id))
                    .limit(missing)
                    .forEach(chosen::add);
        }
        List<Target> subset = all.values().stream()
                .filter(target -> chosen.contains(target.id()))
                .toList();
        return new PoolServers(subset, List.copyOf(all.values()));
    }

    /**
     * Returns the shortest queue time in milliseconds that a backend server in service of these pools has reported
     * within {@link #MAX_WAIT_REPORT_AGE_NANOS}, or empty if none has.
     */
    OptionalLong shortestReportedWaitMs(Configuration configuration, List<Pool> pools) {
        long nowNanos = clock.nanoTime();
        return pools.stream()
                .flatMap(pool -> poolServers(configuration, pool).all().stream())
                .filter(target -> isInService(configuration, target))
                .map(target -> reports.get(target.id()))
                .filter(report -> report != null && nowNanos - report.receivedNanos() <= MAX_WAIT_REPORT_AGE_NANOS)
                .mapToLong(report -> report.load().queuedMs())
                .min();
    }

    /** Stores the load that came with a response of the server's sidecar. */
    void onLoad(BackendServerId server, io.chivehollow.protocol.wire.Load load) {
        int total = Math.max(0, load.getTotalBlocks());
        Load checked = new Load(
                Math.min(total, Math.max(0, load.getFreeBlocks())),
                total,
                Math.max(0, load.getRunning()),
                Math.max(0, load.getQueued()),
                Integer.toUnsignedLong(load.getQueuedMs()),
                Math.max(0, load.getRampLimit()),
                load.getCold(),
                load.getDraining());
        reports.put(server, new ReceivedLoad(checked, clock.nanoTime()));
    }

    /** Returns the prefixes that prefill engines have cached. */
    PrefixLocations prefillPrefixes() {
        return prefillPrefixes;
    }

    /** Returns the prefixes that decode engines have computed themselves and cached. */
    PrefixLocations decodePrefixes() {
        return decodePrefixes;
    }

    /** Removes the loads of servers that the configuration no longer lists. */
    private void removeUnlistedServers(Configuration configuration) {
        Set<BackendServerId> listed = new HashSet<>();
        for (Pool pool : configuration.state().getPoolsList()) {
            pool.getServersList().forEach(server -> listed.add(BackendServerId.of(server.getId())));
        }
        reports.keySet().retainAll(listed);
    }

    private Candidate candidate(Target target, int cachedTokens) {
        ReceivedLoad report = reports.get(target.id());
        if (report == null) {
            return new Candidate(target.id(), target.domain(), UNKNOWN_LOAD, UNKNOWN_LOAD_AGE_MS, cachedTokens);
        }
        long ageMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, clock.nanoTime() - report.receivedNanos()));
        Load load = ageMs > DRAINING_REPORT_VALIDITY_MS ? withoutDraining(report.load()) : report.load();
        return new Candidate(target.id(), target.domain(), load, ageMs, cachedTokens);
    }

    private static Load withoutDraining(Load load) {
        return new Load(
                load.freeBlocks(),
                load.totalBlocks(),
                load.running(),
                load.queued(),
                load.queuedMs(),
                load.rampLimit(),
                load.cold(),
                false);
    }

    private static Target toTarget(BackendServer server) {
        return new Target(
                BackendServerId.of(server.getId()),
                FailureDomain.of(server.getDomain()),
                HostAndPorts.sidecarOf(server));
    }

    /** The subsets of one version of the configuration. */
    private record Subsets(long version, Map<String, PoolServers> byPool) {}

    /** The servers of a pool: those that are tried first, and all. */
    private record PoolServers(List<Target> subset, List<Target> all) {}

    private record ReceivedLoad(Load load, long receivedNanos) {}
}
