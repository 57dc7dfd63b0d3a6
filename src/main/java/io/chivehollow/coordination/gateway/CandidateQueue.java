package io.chivehollow.coordination.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.protocol.wire.Pool;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that are tried for one role in a request: first those in the gateway's subset, then the others
 * of the pools, called fallback servers here.
 *
 * <p>Invariant: a fallback server is tried again only after all servers in service have been tried. Not thread-safe;
 * the owner calls it under a lock.
 */
final class CandidateQueue {

    /**
     * Fallback servers tried per round. The limit bounds the number of attempts in an overloaded system. A pool of 100
     * servers is still tried completely in the rounds within the shortest default queue timeout.
     */
    static final int MAX_FALLBACK_SERVERS = 6;

    private final GatewayCore core;
    private final int maxFallbackServers;
    private final PlacementRequest placement;
    private final List<Long> prefixHashes;
    private final Predicate<Target> isUsable;
    private final Deque<Target> pending = new ArrayDeque<>();
    private final Set<BackendServerId> tried = new HashSet<>();
    private @Nullable Configuration configuration;
    private List<Pool> pools = List.of();
    private int fallbackServersLeft;

    /**
     * Creates an empty queue.
     *
     * @param maxFallbackServers servers outside the subset that are tried per round
     * @param isUsable whether a server may be tried at all
     */
    CandidateQueue(
            GatewayCore core,
            int maxFallbackServers,
            PlacementRequest placement,
            List<Long> prefixHashes,
            Predicate<Target> isUsable) {
        this.core = core;
        this.maxFallbackServers = maxFallbackServers;
        this.placement = placement;
        this.prefixHashes = prefixHashes;
        this.isUsable = isUsable;
    }

    /**
     * Starts a round with the servers in the subset.
     *
     * @param failed server that has just failed and is left out of this round, or null
     */
    void startRound(Configuration current, List<Pool> currentPools, @Nullable Target failed) {
        if (hasTriedAll()) {
            tried.clear();
        }
        configuration = current;
        pools = currentPools;
        fallbackServersLeft = maxFallbackServers;
        pending.clear();
        pending.addAll(core.servers().rank(current, pools, placement, prefixHashes));
        pending.removeIf(isUsable.negate());
        if (failed != null) {
            tried.add(failed.id());
            pending.removeIf(target -> target.id().equals(failed.id()));
        }
    }

    /** Returns the next server to try in this round, or null if there is none left. */
    @Nullable
    Target poll() {
        addFallbackServers();
        Target target = pending.poll();
        if (target != null) {
            tried.add(target.id());
        }
        return target;
    }

    /** Returns whether this round has no server left to try. */
    boolean isEmpty() {
        addFallbackServers();
        return pending.isEmpty();
    }

    /** Returns whether every server in service has been tried, in this round or in earlier ones. */
    boolean hasTriedAll() {
        return pending.isEmpty() && untriedServers().isEmpty();
    }

    private void addFallbackServers() {
        if (pending.isEmpty() && fallbackServersLeft > 0) {
            List<Target> untried = untriedServers();
            pending.addAll(untried.subList(0, Math.min(fallbackServersLeft, untried.size())));
            fallbackServersLeft -= pending.size();
        }
    }

    private List<Target> untriedServers() {
        Configuration current = configuration;
        if (current == null || !core.isEnabled(GatewaySafeguard.SUBSET_FALLBACK)) {
            return List.of();
        }
        return core.servers().rankUntried(current, pools, placement, prefixHashes, tried).stream()
                .filter(isUsable)
                .toList();
    }
}
