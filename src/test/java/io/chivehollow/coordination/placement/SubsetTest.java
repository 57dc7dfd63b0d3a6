package io.chivehollow.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.simulation.Seeds;
import org.testng.Reporter;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against uneven load from the choice of subsets, subsets in a single failure domain, and changes of the servers
 * that move many connections.
 */
public class SubsetTest {

    private static final int GATEWAYS = 340;
    private static final int SERVERS = 600;
    private static final int POOLS = 64;
    private static final int DOMAINS = 5;
    private static final int SEEDS = 20;

    /** Returns servers with names unique to the seed, so that each seed gives different scores. */
    private static Map<BackendServerId, FailureDomain> servers(Random random, int count) {
        Map<BackendServerId, FailureDomain> servers = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            BackendServerId server = BackendServerId.of("server-" + Long.toHexString(random.nextLong()));
            servers.put(server, FailureDomain.of("domain-" + i % DOMAINS));
        }
        return servers;
    }

    private static List<InstanceId> gateways(Random random) {
        List<InstanceId> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(InstanceId.of("gateway-" + Long.toHexString(random.nextLong())));
        }
        return gateways;
    }

    /**
     * Guards, with one pool of 600 servers and subsets of 24, against subsets that change in more than one member when
     * a server is removed, and against servers with 3 times the average number of connections.
     */
    @Test
    public void subsetIsStableAndEven() {
        Map<BackendServerId, FailureDomain> servers = new LinkedHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.put(BackendServerId.of("server-" + i), FailureDomain.of("domain-" + i % DOMAINS));
        }
        Map<BackendServerId, FailureDomain> fewer = new LinkedHashMap<>(servers);
        fewer.remove(BackendServerId.of("server-0"));
        Map<BackendServerId, Integer> connections = new HashMap<>();
        for (int i = 0; i < GATEWAYS; i++) {
            InstanceId gateway = InstanceId.of("gateway-" + i);
            List<BackendServerId> before = Subset.choose(gateway, servers, 24);
            assertEquals(before.size(), 24);
            before.forEach(s -> connections.merge(s, 1, Integer::sum));
            Set<BackendServerId> unchanged = new HashSet<>(Subset.choose(gateway, fewer, 24));
            unchanged.retainAll(before);
            assertTrue(unchanged.size() >= 23);
        }
        // 13.6 connections on average; no backend server is left out or has three times the average.
        assertEquals(connections.size(), SERVERS);
        assertTrue(connections.values().stream().allMatch(n -> n < 41));
    }

    /**
     * Guards against uneven load in the target deployment: each server must be in 0.5 to 1.5 times as many subsets as
     * the average server of its pool. Each gateway selects 2 servers of each pool, in two failure domains.
     */
    @Test
    public void loadIsEvenAtTheTargetSize() {
        Seeds.check(SEEDS, seed -> {
            Random random = new Random(seed);
            List<InstanceId> gateways = gateways(random);
            double least = 1;
            double most = 1;
            for (int pool = 0; pool < POOLS; pool++) {
                int count = SERVERS / POOLS + (pool < SERVERS % POOLS ? 1 : 0);
                Map<BackendServerId, FailureDomain> servers = servers(random, count);
                Map<BackendServerId, Integer> gatewaysOf = new HashMap<>();
                int size = Subset.sizePerPool(Subset.DEFAULT_TOTAL, POOLS);
                for (InstanceId gateway : gateways) {
                    List<BackendServerId> subset = Subset.choose(gateway, servers, size);
                    subset.forEach(server -> gatewaysOf.merge(server, 1, Integer::sum));
                    if (subset.stream().map(servers::get).distinct().count() != 2) {
                        return Optional.of("Subset is not in two failure domains: " + subset);
                    }
                }
                double mean = (double) size * GATEWAYS / count;
                for (BackendServerId server : servers.keySet()) {
                    int chosen = gatewaysOf.getOrDefault(server, 0);
                    least = Math.min(least, chosen / mean);
                    most = Math.max(most, chosen / mean);
                }
            }
            Reporter.log("Seed %d: %.2f to %.2f of the average".formatted(seed, least, most), true);
            if (least < 0.5 || most > 1.5) {
                return Optional.of("A server is in " + least + " or " + most
                        + " times as many subsets as the average of its pool");
            }
            return Optional.empty();
        });
    }

    /**
     * Guards against an added or removed server that changes more than one connection of a gateway, for any
     * distribution of the servers over failure domains.
     */
    @Test
    public void changeOfMembershipMovesFewConnections() {
        Seeds.check(SEEDS, seed -> {
            Random random = new Random(seed);
            Map<BackendServerId, FailureDomain> servers = new LinkedHashMap<>();
            servers(random, 2 + random.nextInt(20))
                    .forEach((server, domain) ->
                            servers.put(server, FailureDomain.of("domain-" + random.nextInt(1 + random.nextInt(6)))));
            int size = 1 + random.nextInt(8);
            for (InstanceId gateway : gateways(random)) {
                Set<BackendServerId> before = Set.copyOf(Subset.choose(gateway, servers, size));
                for (BackendServerId removed : servers.keySet()) {
                    Map<BackendServerId, FailureDomain> fewer = new LinkedHashMap<>(servers);
                    fewer.remove(removed);
                    Set<BackendServerId> lost = new HashSet<>(before);
                    lost.removeAll(Subset.choose(gateway, fewer, size));
                    boolean isAllowed = before.contains(removed) ? lost.equals(Set.of(removed)) : lost.isEmpty();
                    if (!isAllowed) {
                        return Optional.of("Removing " + removed + " changed the subset by " + lost);
                    }
                }
            }
            return Optional.empty();
        });
    }

    /** Guards against pools below the minimum size: the total is divided by the pools only if there are few. */
    @Test
    public void totalIsSharedByThePools() {
        assertEquals(Subset.sizePerPool(48, 3), 16);
        assertEquals(Subset.sizePerPool(48, 24), 2);
        assertEquals(Subset.sizePerPool(48, POOLS), 2);
    }
}
