package io.chivehollow.coordination.memory;

import java.util.HashMap;
import java.util.Map;

import io.chivehollow.base.Clock;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which requests may reserve the last free memory of a decode engine.
 *
 * <p>Callers check {@link #mayReserve} before {@link BlockLedger#tryGrant}. Batch requests may always hold a tenth of
 * the memory, and more only while a quarter of the memory and of the concurrent requests stays free. The same applies,
 * without the tenth, to interactive requests that have already missed their first token target. A team that holds more
 * than its weighted share plus two requests may reserve more only while a tenth of both stays free: the fair queues of
 * the prefill sidecars order only their own requests, so that without this rule the memory would go to the team that
 * requests it first. The replay that gave these values is described in docs/replay.md. Not thread-safe; callers must
 * provide external synchronization.
 */
public final class MemoryShares {

    private static final double BATCH_RESERVED_SHARE = 0.1;
    private static final double BATCH_MIN_FREE_SHARE = 0.25;
    private static final double TEAM_MIN_FREE_SHARE = 0.1;
    // Two of twenty requests, because the exact share of a small team may be less than one request.
    private static final double TEAM_SLACK = 0.1;
    // Time for which a team counts as active after its last request; about the time that a request holds memory.
    private static final long ACTIVE_MS = 2_000;

    private final int totalBlocks;
    private final int maxRequests;
    private final Clock clock;
    private final Map<RequestId, Grant> grants = new HashMap<>();
    private final Map<TeamId, ActiveTeam> activeTeams = new HashMap<>();

    private MemoryShares(int totalBlocks, int maxRequests, Clock clock) {
        this.totalBlocks = totalBlocks;
        this.maxRequests = maxRequests;
        this.clock = clock;
    }

    /** Returns the shares of an engine with the given memory and limit of concurrent requests. */
    public static MemoryShares create(int totalBlocks, int maxRequests, Clock clock) {
        checkArgument(totalBlocks > 0, "totalBlocks must be positive, but was %s", totalBlocks);
        checkArgument(maxRequests > 0, "maxRequests must be positive, but was %s", maxRequests);
        return new MemoryShares(totalBlocks, maxRequests, clock);
    }

    /**
     * Returns whether a request may reserve memory, provided that enough is free; marks its team as active.
     *
     * @param late whether the request is interactive and has missed its first token target; has an effect only together
     *     with batch priority, which such a request gets
     * @param limit number of concurrent requests that the cold start ramp allows
     */
    public boolean mayReserve(TeamId team, int weight, Priority priority, boolean late, int blocks, int limit) {
        checkArgument(weight > 0, "weight must be positive, but was %s", weight);
        activeTeams.put(team, new ActiveTeam(weight, clock.monotonicMs()));
        if (priority == Priority.BATCH && (late || batchBlocks() >= BATCH_RESERVED_SHARE * totalBlocks)) {
            if (!leavesFree(blocks, limit, BATCH_MIN_FREE_SHARE)) {
                return false;
            }
        }
        return !isAboveShare(team, weight) || leavesFree(blocks, limit, TEAM_MIN_FREE_SHARE);
    }

    /** Records that memory was granted to a request. */
    public void onGranted(RequestId request, TeamId team, Priority priority, boolean late, int blocks) {
        grants.put(request, new Grant(team, priority == Priority.BATCH && !late, blocks));
    }

    /** Records that the memory of a request was released; has no effect if the request has no grant. */
    public void onReleased(RequestId request) {
        grants.remove(request);
    }

    /** Returns whether the share of the memory and of the concurrent requests stays free after a reservation. */
    private boolean leavesFree(int blocks, int limit, double share) {
        int usedBlocks = 0;
        for (Grant grant : grants.values()) {
            usedBlocks += grant.blocks();
        }
        return totalBlocks - usedBlocks - blocks >= share * totalBlocks && grants.size() < (1 - share) * limit;
    }

    private int batchBlocks() {
        int blocks = 0;
        for (Grant grant : grants.values()) {
            blocks += grant.isBatch() ? grant.blocks() : 0;
        }
        return blocks;
    }

    private boolean isAboveShare(TeamId team, int weight) {
        activeTeams.values().removeIf(a -> clock.monotonicMs() - a.lastRequestMs() > ACTIVE_MS);
        int activeWeight = 0;
        for (ActiveTeam active : activeTeams.values()) {
            activeWeight += active.weight();
        }
        double used = 0;
        for (Grant grant : grants.values()) {
            if (grant.team().equals(team)) {
                used += Math.max((double) grant.blocks() / totalBlocks, 1.0 / maxRequests);
            }
        }
        return used > (double) weight / activeWeight + TEAM_SLACK;
    }

    private record Grant(TeamId team, boolean isBatch, int blocks) {}

    private record ActiveTeam(int weight, long lastRequestMs) {}
}
