package io.chivehollow.coordination.forwarding.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;

/**
 * Decides which backend servers of a service should change their pool role from prefill to decode.
 *
 * <p>Answers the load of bursts, in which the memory of the decode servers is full before the prefill servers are busy:
 * both pools should reach their limits at the same demand, with more room in the prefill pool, because a prompt that
 * waits delays a reservation. Stateless and thread-safe; has no side effects.
 */
public final class RolePlanner {

    /** Decode servers for each prefill server of a service that has not shown its own ratio yet. */
    private static final double DEFAULT_DECODE_PER_PREFILL = 2;

    /** Share of the ratio that the service has shown; the rest is room for prompts that arrive together. */
    private static final double RATIO_SHARE = 2.0 / 3;

    /** Largest ratio; the prefill pool must still process the prompts of a burst. */
    private static final double MAX_DECODE_PER_PREFILL = 5;

    /** Smallest ratio; fewer decode servers than this are never wanted. */
    private static final double MIN_DECODE_PER_PREFILL = 1;

    /** Number of servers from which two have the prefill role; a single one cannot absorb a burst or its own loss. */
    private static final int MIN_SERVERS_FOR_TWO = 6;

    /** Largest share of a service's servers that change their roles at the same time; they serve nothing meanwhile. */
    private static final double MAX_CHANGING_SHARE = 1.0 / 8;

    private RolePlanner() {}

    /**
     * Returns the role changes to be ordered now.
     *
     * @param entries the listed backend servers
     * @param changing ids of servers that were ordered to change to decode and may not have done so yet, and of servers
     *     that want no commands at present
     * @param decodePerPrefill decode servers that one prefill server of a service keeps busy, 0 if not known
     */
    public static List<RoleChange> next(
            Collection<BackendEntry> entries, Set<String> changing, ToDoubleFunction<String> decodePerPrefill) {
        Map<String, List<BackendEntry>> byService = new TreeMap<>();
        for (BackendEntry entry : entries) {
            if (entry.role() != Role.PLAIN && !entry.isDraining()) {
                byService
                        .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(entry);
            }
        }
        List<RoleChange> changes = new ArrayList<>();
        byService.forEach((service, servers) ->
                changes.addAll(nextOfService(servers, changing, decodePerPrefill.applyAsDouble(service))));
        return changes;
    }

    private static List<RoleChange> nextOfService(List<BackendEntry> servers, Set<String> changing, double shownRatio) {
        List<BackendEntry> prefillServers = new ArrayList<>(servers.stream()
                .filter(server -> server.role() == Role.PREFILL && !changing.contains(server.id()))
                .toList());
        long changingCount = servers.stream()
                .filter(server -> changing.contains(server.id()))
                .count();
        long maxChanging = Math.max(1, (long) (servers.size() * MAX_CHANGING_SHARE));
        // A service with too few prefill servers still works, because decode servers can run prefill, too.
        long surplus = prefillServers.size() - prefillTarget(servers.size(), shownRatio);
        long count = Math.min(surplus, maxChanging - changingCount);
        List<RoleChange> changes = new ArrayList<>();
        while (changes.size() < count) {
            BackendEntry next = ofLargestDomain(prefillServers);
            prefillServers.remove(next);
            changes.add(new RoleChange(next.id(), Role.DECODE));
        }
        return changes;
    }

    private static long prefillTarget(int serverCount, double shownRatio) {
        double ratio = shownRatio <= 0
                ? DEFAULT_DECODE_PER_PREFILL
                : Math.min(MAX_DECODE_PER_PREFILL, Math.max(MIN_DECODE_PER_PREFILL, shownRatio * RATIO_SHARE));
        long smallest = serverCount < MIN_SERVERS_FOR_TWO ? 1 : 2;
        return Math.max(smallest, (long) (serverCount / (ratio + 1)));
    }

    /** Returns a server of the failure domain with the most servers, so that no domain loses its last one early. */
    private static BackendEntry ofLargestDomain(List<BackendEntry> servers) {
        Map<FailureDomain, Integer> counts = new HashMap<>();
        servers.forEach(server -> counts.merge(server.domain(), 1, Integer::sum));
        return servers.stream()
                .max(Comparator.comparing((BackendEntry server) -> counts.get(server.domain()))
                        .thenComparing(BackendEntry::id))
                .orElseThrow();
    }
}
