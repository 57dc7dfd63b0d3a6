package io.chivehollow.coordination.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import io.chivehollow.base.Clock;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.coldstart.ColdStartRamp;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.coordination.memory.BlockLedger;
import io.chivehollow.coordination.memory.MemoryShares;

/**
 * Counts the memory blocks and concurrent requests of the backend server.
 *
 * <p>Used on the sidecar's event loop. A request occupies a slot from the reservation of the slot, or from its start,
 * until the slot is released. Invariants: a started request counts until the backend server has confirmed its end; a
 * new request starts only while fewer requests are started than the cold start ramp allows.
 */
final class EngineCapacity {

    /** Time for which past numbers of started requests are stored. */
    private static final int MAX_WINDOW_MS = 10_000;

    private final SidecarOptions options;
    private final BlockLedger ledger;
    private final ColdStartRamp ramp;
    private final boolean isRampEnabled;
    private final Clock clock;
    private final Set<Lease> leases = new LinkedHashSet<>();
    private final Deque<StartedCount> startedCounts = new ArrayDeque<>();
    private MemoryShares shares;
    /** Time at which the ramp last went back to its lowest limit. */
    private long lastFallbackMs;

    private long lastSuccessMs;

    EngineCapacity(SidecarOptions options, Clock clock, boolean isRampEnabled) {
        this.options = options;
        this.clock = clock;
        this.ramp = ColdStartRamp.create(options.ramp(), clock);
        this.lastFallbackMs = clock.monotonicMs();
        this.lastSuccessMs = lastFallbackMs;
        // An ordinary service has no memory blocks, but the ledger needs at least one.
        this.ledger = BlockLedger.create(Math.max(1, options.memoryBlocks()));
        this.isRampEnabled = isRampEnabled;
        this.shares = newShares();
    }

    private MemoryShares newShares() {
        return MemoryShares.create(ledger.totalBlocks(), options.ramp().maxLimit(), clock);
    }

    /** Returns whether the rules for memory shares let the team reserve the blocks, provided that they are free. */
    boolean mayReserve(TeamId team, int weight, Priority priority, int blocks) {
        return shares.mayReserve(team, weight, priority, false, blocks, slotLimit());
    }

    /** Counts a reservation against the memory share of its team. */
    void onReserved(Lease lease, TeamId team, Priority priority, int blocks) {
        shares.onGranted(lease.engineId(), team, priority, false, blocks);
    }

    boolean isCold() {
        return ramp.isCold();
    }

    /**
     * Records a successful prefill.
     *
     * <p>An engine computes prefills one after the other, so only the time since the end of the previous one counts;
     * otherwise a full batch on a warm engine would look like a cold engine.
     */
    void onPrefilled(long startedMs, int tokens) {
        onSuccess(startedMs, clock.monotonicMs() - Math.max(startedMs, lastSuccessMs), tokens);
    }

    /** Records a successful request; the ramp ignores it if it started before the last fallback of the ramp. */
    void onSuccess(long startedMs, long serviceMs, int tokens) {
        lastSuccessMs = clock.monotonicMs();
        if (startedMs < lastFallbackMs) {
            return;
        }
        int limit = ramp.limit();
        ramp.onSuccess(serviceMs, tokens);
        if (ramp.limit() < limit) {
            lastFallbackMs = clock.monotonicMs();
        }
    }

    /** Records a sign that the engine is cold. */
    void onFailure() {
        ramp.onFailure();
        lastFallbackMs = clock.monotonicMs();
    }

    int blocksFor(long tokens) {
        return Math.max(1, BlockLedger.blocksFor(tokens, options.blockTokens()));
    }

    int totalBlocks() {
        return ledger.totalBlocks();
    }

    int freeBlocks() {
        return ledger.freeBlocks();
    }

    /** Returns how many requests may run concurrently: the limit of the ramp or, without the ramp, the capacity. */
    int slotLimit() {
        int maxConcurrent = options.ramp().maxLimit();
        return isRampEnabled ? Math.min(ramp.limit(), maxConcurrent) : maxConcurrent;
    }

    /** Returns whether any lease is held, including those of requests whose end the engine has not confirmed yet. */
    boolean hasLeases() {
        return !leases.isEmpty();
    }

    int startedCount() {
        return (int) leases.stream().filter(lease -> lease.isStarted).count();
    }

    /** Returns the lowest number of started requests at any time in the given window up to now. */
    int minStartedCount(int windowMs) {
        long fromMs = clock.monotonicMs() - windowMs;
        int least = startedCount();
        for (StartedCount count : startedCounts) {
            least = count.untilMs() >= fromMs ? Math.min(least, count.count()) : least;
        }
        return least;
    }

    /** Stores the number of started requests for {@link #minStartedCount}; called before each change. */
    private void recordStartedCount() {
        long nowMs = clock.monotonicMs();
        startedCounts.add(new StartedCount(nowMs, startedCount()));
        while (startedCounts.element().untilMs() < nowMs - MAX_WINDOW_MS) {
            startedCounts.remove();
        }
    }

    boolean hasFreeSlot() {
        return leases.stream().filter(Lease::usesSlot).count() < slotLimit();
    }

    /** Reserves blocks without a slot. */
    Optional<Lease> tryLease(RequestId engineId, long ownerId, int blocks) {
        if (!ledger.tryGrant(engineId, ownerId, blocks)) {
            return Optional.empty();
        }
        Lease lease = new Lease(engineId);
        leases.add(lease);
        return Optional.of(lease);
    }

    /** Reserves blocks and a slot. */
    Optional<Lease> tryReserve(RequestId engineId, long ownerId, int blocks) {
        if (!hasFreeSlot()) {
            return Optional.empty();
        }
        Optional<Lease> lease = tryLease(engineId, ownerId, blocks);
        lease.ifPresent(granted -> granted.isSlotReserved = true);
        return lease;
    }

    /** Starts a request that needs no blocks. */
    Optional<Lease> tryStartWithoutBlocks(RequestId engineId) {
        if (!hasFreeSlot()) {
            return Optional.empty();
        }
        recordStartedCount();
        Lease lease = new Lease(engineId);
        lease.isStarted = true;
        leases.add(lease);
        return Optional.of(lease);
    }

    /** Marks a request as started and returns true if its lease is still held and the ramp allows another request. */
    boolean tryStart(Lease lease) {
        if (!leases.contains(lease) || startedCount() >= slotLimit()) {
            return false;
        }
        recordStartedCount();
        lease.isStarted = true;
        return true;
    }

    /** Releases the slot of a request; its blocks stay reserved. */
    void releaseSlot(Lease lease) {
        recordStartedCount();
        lease.isStarted = false;
        lease.isSlotReserved = false;
    }

    /** Releases the slot and the blocks of a request; has no effect if it holds none. */
    void release(Lease lease) {
        releaseSlot(lease);
        leases.remove(lease);
        ledger.release(lease.engineId());
        shares.onReleased(lease.engineId());
    }

    /** Discards all leases, because the engine has restarted and lost its memory. */
    void onEngineRestart() {
        ramp.onRestart();
        lastFallbackMs = clock.monotonicMs();
        leases.forEach(this::releaseSlot);
        leases.clear();
        ledger.clear();
        shares = newShares();
    }

    /** The number of started requests that applied until a time on the monotonic clock; immutable. */
    private record StartedCount(long untilMs, int count) {}
}
