package io.chivehollow.coordination.gateway;

import java.util.function.Predicate;

import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.protocol.openai.GenerationRequest;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.PoolRole;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that are tried for one generation, and the shortest queue time of those that refused it.
 *
 * <p>A direct round tries only decode servers that may prefill the prompt themselves. Not thread-safe; the flow calls
 * it under its lock.
 */
final class GenerationTargets {

    private final GatewayCore core;
    private final GenerationRequest request;
    private final GenerationCost cost;
    private final CandidateQueue prefillQueue;
    private final CandidateQueue decodeQueue;
    private final CandidateQueue directQueue;
    private boolean isDirect;
    private long shortestQueueMs = Long.MAX_VALUE;

    GenerationTargets(GatewayCore core, GenerationRequest request, GenerationCost cost) {
        this.core = core;
        this.request = request;
        this.cost = cost;
        this.prefillQueue = newQueue(PoolRole.PREFILL, target -> true);
        this.decodeQueue = newQueue(PoolRole.DECODE, target -> true);
        this.directQueue = newQueue(PoolRole.DECODE, this::mayPrefill);
    }

    private CandidateQueue newQueue(PoolRole role, Predicate<Target> isUsable) {
        return new CandidateQueue(
                core, CandidateQueue.MAX_FALLBACK_SERVERS, cost.placement(role), request.prefixHashes(), isUsable);
    }

    private boolean mayPrefill(Target target) {
        PrefixLocations prefixes = core.servers().decodePrefixes();
        return cost.isDirect(prefixes.cachedTokens(target.id(), request.prefixHashes()));
    }

    /** Starts a direct round and returns whether there is a decode server to try. */
    boolean startDirectRound() {
        isDirect = true;
        startDecodeRound(null);
        return !directQueue.isEmpty();
    }

    /** Returns whether the current round is direct. */
    boolean isDirect() {
        return isDirect;
    }

    /** Starts a round at the prefill servers; returns whether there are servers of both roles to try. */
    boolean startPrefillRound() {
        isDirect = false;
        shortestQueueMs = Long.MAX_VALUE;
        startRound(prefillQueue, PoolRole.PREFILL, null);
        startRound(decodeQueue, PoolRole.DECODE, null);
        return !prefillQueue.isEmpty() && !decodeQueue.isEmpty();
    }

    /**
     * Starts a round at the decode servers.
     *
     * @param failed server that has just failed and is left out of this round, or null
     */
    void startDecodeRound(@Nullable Target failed) {
        // Refusals by decode servers do not predict the wait: their memory may be released at any time.
        shortestQueueMs = 0;
        startRound(isDirect ? directQueue : decodeQueue, PoolRole.DECODE, failed);
    }

    private void startRound(CandidateQueue queue, PoolRole role, @Nullable Target failed) {
        Configuration configuration = core.configuration();
        queue.startRound(configuration, configuration.pools(cost.model(), role), failed);
    }

    /** Returns the next prefill server to try in this round, or null if there is none left. */
    @Nullable
    Target nextPrefill() {
        return prefillQueue.poll();
    }

    /** Returns the next decode server to try in this round, or null if there is none left. */
    @Nullable
    Target nextDecode() {
        return (isDirect ? directQueue : decodeQueue).poll();
    }

    /**
     * Records the wait that a prefill server reported with its refusal. Without an estimate for this request, the time
     * of the whole queue is used.
     *
     * @param load load of the server; null counts as no wait
     */
    void onPrefillRefused(@Nullable Load load) {
        long waitMs = 0;
        if (load != null) {
            waitMs = Integer.toUnsignedLong(load.getWaitMs() == 0 ? load.getQueuedMs() : load.getWaitMs());
        }
        shortestQueueMs = Math.min(shortestQueueMs, waitMs);
    }

    /** Returns whether every prefill server was tried and even the shortest queue takes longer than the given time. */
    boolean isShortestQueueLongerThan(long queueTimeLeftMs) {
        return shortestQueueMs > queueTimeLeftMs && prefillQueue.hasTriedAll();
    }
}
