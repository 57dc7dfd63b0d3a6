package io.chivehollow.coordination.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Selects the backend servers to which an instance maintains connections, by rendezvous hashing.
 *
 * <p>Invariants: if a backend server is added or removed, at most one member of a subset changes; a subset covers
 * as many failure domains as its size allows. Stateless and thread-safe.
 */
public final class Subset {

    /** Number of backend servers, over all pools, to which a gateway maintains connections. */
    public static final int DEFAULT_TOTAL = 48;

    /** With fewer, a gateway could neither choose between two servers nor tolerate the loss of a failure domain. */
    public static final int MIN_PER_POOL = 2;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private Subset() {}

    /**
     * Returns the number of backend servers of each pool in a subset.
     *
     * <p>The result does not depend on the number of servers, so that a change in one pool moves no connection of
     * another pool. If the number of pools exceeds half of {@code total}, the sum over all pools exceeds {@code total},
     * because of the minimum per pool.
     */
    public static int sizePerPool(int total, int pools) {
        checkArgument(total > 0, "total must be positive, but was %s", total);
        return Math.max(MIN_PER_POOL, total / Math.max(1, pools));
    }

    /** Returns the subset of an instance in order of preference; all servers if there are at most {@code size}. */
    public static List<BackendServerId> choose(
            InstanceId instance, Map<BackendServerId, FailureDomain> servers, int size) {
        checkArgument(size > 0, "size must be positive, but was %s", size);
        List<ScoredServer> scored = new ArrayList<>(servers.size());
        servers.forEach((server, domain) -> scored.add(new ScoredServer(server, domain, 0, score(instance, server))));
        scored.sort(Comparator.comparingLong(ScoredServer::score).thenComparing(ScoredServer::server));
        Map<FailureDomain, Integer> ranks = new HashMap<>();
        return scored.stream()
                .map(each -> each.withRank(ranks.merge(each.domain(), 1, Integer::sum)))
                // The best server of each failure domain comes first, then the second best of each.
                .sorted(Comparator.comparingInt(ScoredServer::rankInDomain)
                        .thenComparingLong(ScoredServer::score)
                        .thenComparing(ScoredServer::server))
                .limit(size)
                .map(ScoredServer::server)
                .toList();
    }

    // Identifiers cannot contain the separator, so that different pairs never give the same input.
    private static long score(InstanceId instance, BackendServerId server) {
        return HASH.newHasher()
                .putString(instance.value(), StandardCharsets.UTF_8)
                .putChar('\n')
                .putString(server.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private record ScoredServer(BackendServerId server, FailureDomain domain, int rankInDomain, long score) {

        ScoredServer withRank(int rank) {
            return new ScoredServer(server, domain, rank, score);
        }
    }
}
