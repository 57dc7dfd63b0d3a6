package io.chivehollow.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.coldstart.ColdStartRamp;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.coordination.memory.BlockLedger;
import io.chivehollow.coordination.memory.MemoryShares;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the decisions of a sidecar in front of a decode engine: memory reservation, cold start, use of the link,
 * and memory that stays free for interactive work.
 *
 * <p>Not thread-safe.
 */
final class DecodeSidecar {

    // The team of all requests if fair sharing is disabled.
    private static final TeamId SINGLE_TEAM = TeamId.of("shared");

    final Server server;
    final DecodeEngine engine;
    private final VirtualClock clock;
    private final FailureDomainStates domainStates;
    private final ReplaySafeguards safeguards;
    private final RunStats stats;
    private final Consumer<Request> onDone;
    private final Consumer<Request> onReservationLost;
    private final BlockLedger ledger;
    private final ColdStartRamp ramp;
    private final Map<RequestId, Request> reservations = new HashMap<>();
    // Requests with a reservation whose transfer over the link is not yet scheduled.
    private final Set<Request> pendingTransfers = new HashSet<>();
    private final CostModel model;
    private final Map<TeamId, Integer> weights;
    private final MemoryShares shares;
    private long pendingTransferUs;

    DecodeSidecar(
            Server server,
            VirtualClock clock,
            RunStats stats,
            FailureDomainStates domainStates,
            ProductRouter.Config config,
            Consumer<Request> onDone,
            Consumer<Request> onReservationLost) {
        this.server = server;
        this.clock = clock;
        this.domainStates = domainStates;
        this.safeguards = config.safeguards();
        this.stats = stats;
        this.model = config.model();
        this.weights = config.weights();
        this.onDone = onDone;
        this.onReservationLost = onReservationLost;
        this.ledger = BlockLedger.create(config.model().totalBlocks());
        this.shares = MemoryShares.create(config.model().totalBlocks(), CostModel.MAX_RUNNING, clock);
        this.ramp = ColdStartRamp.create(new RampConfig(CostModel.MAX_RUNNING, 0, CostModel.WARM_STEP_MS), clock);
        this.engine = new DecodeEngine(
                clock, config.model(), stats, this::onDecodeFinished, stepMs -> ramp.onProgress(stepMs, 1));
    }

    /** Raises the ramp to its full limit, for an engine that is warm at the start of the run. */
    void warmUp() {
        while (ramp.isCold()) {
            ramp.onSuccess(0, 0);
        }
    }

    /**
     * Reserves memory and returns whether it was reserved. Refuses if the KV cache of the prompt, after a prefill of
     * the given duration, would take longer than {@code allowedTransferUs} to arrive.
     */
    boolean tryReserve(Request request, long prefillUs, long allowedTransferUs) {
        int limit = safeguards.coldStartRamp() ? ramp.limit() : CostModel.MAX_RUNNING;
        if (isDraining() || engine.isDown() || reservations.size() >= limit) {
            return false;
        }
        int weight = safeguards.fairShare() ? weights.get(request.arrival.team()) : 1;
        if (!shares.mayReserve(team(request), weight, request.priority(), request.late, request.blocks, limit)) {
            return false;
        }
        long transferWaitUs = Math.max(0, engine.linkBacklogUs() + pendingTransferUs - prefillUs) + transferUs(request);
        if (transferWaitUs > allowedTransferUs
                || !ledger.tryGrant(request.id, request.arrival.gateway(), request.blocks)) {
            return false;
        }
        domainStates.onAccepted(server);
        shares.onGranted(request.id, team(request), request.priority(), request.late, request.blocks);
        reservations.put(request.id, request);
        addPendingTransfer(request);
        return true;
    }

    /**
     * Imports the KV cache and starts the decode. If the cold engine is at its limit, or if the prefill result would
     * expire before the transfer ends, releases the reservation and runs {@code onFailed}. If the request no longer has
     * a reservation, only runs {@code onFailed}.
     */
    void startDecode(Request request, long expiryUs, Runnable onFailed) {
        if (reservations.get(request.id) != request) {
            onFailed.run();
            return;
        }
        // The engine may have become cold after the reservation; the gateway then tries another engine.
        if (safeguards.coldStartRamp() && engine.runningCount() >= ramp.limit()) {
            release(request);
            onFailed.run();
            return;
        }
        removePendingTransfer(request);
        OptionalLong endUs = engine.scheduleTransfer(request, expiryUs);
        if (endUs.isEmpty()) {
            release(request);
            onFailed.run();
            return;
        }
        clock.scheduleAt(endUs.getAsLong(), () -> {
            if (reservations.get(request.id) == request) {
                engine.start(request);
            }
        });
    }

    void release(Request request) {
        if (reservations.remove(request.id) != null) {
            removePendingTransfer(request);
            ledger.release(request.id);
            shares.onReleased(request.id);
            engine.cancel(request);
            stats.onMemoryReleased(request, clock.nowUs());
        }
    }

    /** Releases the reservations of a gateway whose connection was lost. */
    void onGatewayLost(long gateway) {
        for (RequestId id : ledger.releaseOwner(gateway)) {
            shares.onReleased(id);
            Request request = reservations.remove(id);
            if (request != null) {
                removePendingTransfer(request);
                engine.cancel(request);
                stats.onMemoryReleased(request, clock.nowUs());
            }
        }
    }

    /** Restarts the engine, which takes the given time, and reports all reservations as lost. */
    void restart(long restartUs) {
        engine.restart(restartUs);
        ramp.onRestart();
        List<RequestId> lost = ledger.clear().stream().sorted().toList();
        for (RequestId id : lost) {
            shares.onReleased(id);
            Request request = reservations.remove(id);
            if (request != null) {
                removePendingTransfer(request);
                stats.onMemoryReleased(request, clock.nowUs());
                onReservationLost.accept(request);
            }
        }
    }

    double occupancy() {
        double memory = 1 - (double) ledger.freeBlocks() / ledger.totalBlocks();
        return Math.max(memory, (double) reservations.size() / CostModel.MAX_RUNNING);
    }

    Load load() {
        int limit = safeguards.coldStartRamp() ? ramp.limit() : CostModel.MAX_RUNNING;
        return new Load(
                ledger.freeBlocks(),
                ledger.totalBlocks(),
                reservations.size(),
                0,
                0,
                limit,
                ramp.isCold(),
                isDraining());
    }

    private void addPendingTransfer(Request request) {
        if (pendingTransfers.add(request)) {
            pendingTransferUs += transferUs(request);
        }
    }

    private void removePendingTransfer(Request request) {
        if (pendingTransfers.remove(request)) {
            pendingTransferUs -= transferUs(request);
        }
    }

    private long transferUs(Request request) {
        return model.transferUs(request.arrival.promptTokens());
    }

    private boolean isDraining() {
        return safeguards.refuseWhenOutOfService() && domainStates.isOutForSidecar(server);
    }

    private TeamId team(Request request) {
        return safeguards.fairShare() ? request.arrival.team() : SINGLE_TEAM;
    }

    private void onDecodeFinished(Request request) {
        reservations.remove(request.id);
        ledger.release(request.id);
        shares.onReleased(request.id);
        stats.onMemoryReleased(request, clock.nowUs());
        ramp.onSuccess((clock.nowUs() - request.decodeStartUs) / 1_000, request.arrival.outputTokens());
        onDone.accept(request);
    }
}
