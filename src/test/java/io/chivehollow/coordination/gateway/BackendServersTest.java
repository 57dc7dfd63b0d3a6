package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.PrefixBlock;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.ReleasedState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against connections to too many servers, requests to servers that are draining or out of service, and load
 * reports that are used for too long.
 */
public class BackendServersTest {

    private static final PlacementRequest PREFILL = new PlacementRequest(PlacementRequest.ServerRole.PREFILL, 10, 0);

    private final List<Candidate> seen = new ArrayList<>();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);

    private BackendServers servers(int subsetSize) {
        Clock clock = new Clock() {
            @Override
            public long nanoTime() {
                return nowNanos;
            }

            @Override
            public long currentTimeMs() {
                return 0;
            }
        };
        return new BackendServers(
                InstanceId.of("g"),
                subsetSize,
                (request, candidates, random) -> {
                    seen.clear();
                    seen.addAll(candidates);
                    return candidates;
                },
                new Random(1),
                clock);
    }

    private static ReleasedState.Builder state(int count) {
        Pool.Builder pool = Pool.newBuilder().setId("p");
        for (int i = 0; i < count; i++) {
            pool.addServers(BackendServer.newBuilder()
                    .setId("s" + i)
                    .setDomain("d" + i % 3)
                    .setSidecarAddress("127.0.0.1:" + (1_000 + i)));
        }
        return ReleasedState.newBuilder().setVersion(1).addPools(pool);
    }

    private List<BackendServerId> candidates(BackendServers servers, ReleasedState state, List<Long> hashes) {
        Configuration configuration = Configuration.of(state);
        servers.rank(configuration, state.getPoolsList(), PREFILL, hashes);
        return seen.stream().map(Candidate::server).toList();
    }

    @Test
    public void rankingStaysInTheSubsetWhileItIsInService() {
        BackendServers servers = servers(6);
        ReleasedState.Builder state = state(60);
        List<BackendServerId> before = candidates(servers, state.build(), List.of());
        assertEquals(before.size(), 6);
        state.addDomains(Domain.newBuilder().setId("d0").setOut(true)).setVersion(2);
        List<BackendServerId> during = candidates(servers, state.build(), List.of());
        assertTrue(before.containsAll(during) && !during.isEmpty(), during.toString());
        assertTrue(seen.stream()
                .noneMatch(candidate -> candidate.failureDomain().value().equals("d0")));
        for (BackendServerId id : before) {
            state.addDraining(id.value());
        }
        List<BackendServerId> others = candidates(servers, state.setVersion(3).build(), List.of());
        assertEquals(others.size(), 6);
        assertTrue(others.stream().noneMatch(before::contains));
    }

    /** Guards against a server that is never tried again after its draining has ended. */
    @Test
    public void drainingReportExpires() {
        BackendServers servers = servers(24);
        ReleasedState state = state(1).build();
        servers.onLoad(
                BackendServerId.of("s0"), Load.newBuilder().setDraining(true).build());
        candidates(servers, state, List.of());
        assertTrue(seen.get(0).load().draining());
        nowNanos += TimeUnit.MILLISECONDS.toNanos(3_001);
        candidates(servers, state, List.of());
        assertFalse(seen.get(0).load().draining());
    }

    @Test
    public void prefilledPrefixCountsAsCachedAtItsServerOnly() {
        BackendServers servers = servers(24);
        servers.prefillPrefixes().onPrefilled(BackendServerId.of("s1"), List.of(11L, 12L));
        candidates(servers, state(2).build(), List.of(11L, 12L, 13L));
        assertEquals(seen.get(0).cachedPrefixTokens(), 0);
        assertEquals(seen.get(1).cachedPrefixTokens(), 2 * PrefixBlock.TOKENS);
    }

    /**
     * Guards against a prefix that counts as cached after the engine has evicted it, and against a report of one server
     * that removes the records of another.
     */
    @Test
    public void reportedPrefixReplacesRecordsOfThatServerOnly() {
        BackendServers servers = servers(24);
        List<Long> hashes = List.of(11L, 12L, 13L);
        servers.prefillPrefixes().onPrefilled(BackendServerId.of("s1"), hashes);
        servers.prefillPrefixes().onCachedPrefixReport(BackendServerId.of("s0"), hashes, PrefixBlock.TOKENS);
        candidates(servers, state(2).build(), hashes);
        assertEquals(seen.get(0).cachedPrefixTokens(), 0);
        assertEquals(seen.get(1).cachedPrefixTokens(), 3 * PrefixBlock.TOKENS);
        servers.prefillPrefixes().onCachedPrefixReport(BackendServerId.of("s1"), hashes, PrefixBlock.TOKENS);
        servers.prefillPrefixes().onCachedPrefixReport(BackendServerId.of("s0"), hashes, -1);
        candidates(servers, state(2).build(), hashes);
        assertEquals(seen.get(1).cachedPrefixTokens(), PrefixBlock.TOKENS);
    }
}
