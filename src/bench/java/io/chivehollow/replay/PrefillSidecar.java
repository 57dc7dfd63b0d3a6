package io.chivehollow.replay;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.coldstart.ColdStartRamp;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.coordination.fairness.FairQueue;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the decisions of a sidecar in front of a prefill engine: admission, fair queueing, and preparation of one
 * request while another runs.
 *
 * <p>Not thread-safe.
 */
final class PrefillSidecar {

    // Cost of an output token in prompt tokens: a decode token takes 42 ms / 20 requests, a prefill token 0.02 ms.
    private static final long OUTPUT_WEIGHT = 100;
    // The team of all requests if fair sharing is disabled.
    private static final TeamId SINGLE_TEAM = TeamId.of("shared");

    final Server server;
    final PrefillEngine engine;
    final ColdStartRamp ramp;
    private final FailureDomainStates domainStates;
    private final ReplaySafeguards safeguards;
    private final Map<TeamId, Integer> weights;
    private final long predictedOutputTokens;
    private final FairQueue<Request> queue = FairQueue.create();
    private final Map<Request, Long> queuedPrefillUs = new HashMap<>();
    // Requests taken from the queue whose gateways have been notified and have not yet started the prefill.
    private final Set<Request> ready = new LinkedHashSet<>();
    private final BiConsumer<PrefillSidecar, Request> onReady;
    private long queuedInteractivePrefillUs;

    PrefillSidecar(
            Server server,
            PrefillEngine engine,
            VirtualClock clock,
            FailureDomainStates domainStates,
            ProductRouter.Config config,
            BiConsumer<PrefillSidecar, Request> onReady) {
        this.server = server;
        this.engine = engine;
        this.domainStates = domainStates;
        this.safeguards = config.safeguards();
        this.weights = config.weights();
        this.predictedOutputTokens = config.predictedOutputTokens();
        this.onReady = onReady;
        this.ramp = ColdStartRamp.create(
                new RampConfig(2, CostModel.PREFILL_FIXED_MS, CostModel.PREFILL_MS_PER_TOKEN), clock);
    }

    /** Raises the ramp to its full limit, for an engine that is warm at the start of the run. */
    void warmUp() {
        while (ramp.isCold()) {
            ramp.onSuccess(0, 0);
        }
    }

    boolean isDraining() {
        return safeguards.refuseWhenOutOfService() && domainStates.isOutForSidecar(server);
    }

    /**
     * Queues the request and returns whether it was admitted. The sidecar refuses every request while it drains, and an
     * interactive request that is not late if its prefill would end later than the given time from now.
     */
    boolean tryAdmit(Request request, long maxTimeToPrefillEndUs) {
        if (isDraining() || (request.isOnTimeInteractive() && timeToPrefillEndUs(request) > maxTimeToPrefillEndUs)) {
            return false;
        }
        domainStates.onAccepted(server);
        add(request);
        notifyNextReady();
        return true;
    }

    /** Starts the prefill of a request for which {@code onReady} was called. */
    void start(Request request, Runnable onDone) {
        ready.remove(request);
        engine.submit(request, () -> {
            long serviceMs = engine.prefillUs(request) / 1_000;
            ramp.onSuccess(serviceMs, request.arrival.promptTokens());
            onDone.run();
            notifyNextReady();
        });
        notifyNextReady();
    }

    /** Returns a ready request to the queue and refunds its team's charge. */
    void requeueAndRefund(Request request) {
        ready.remove(request);
        queue.adjustCharge(team(request), request.priority(), -cost(request));
        add(request);
        notifyNextReady();
    }

    /** Removes a ready request and refunds its team's charge. */
    void removeReadyAndRefund(Request request) {
        ready.remove(request);
        queue.adjustCharge(team(request), request.priority(), -cost(request));
        notifyNextReady();
    }

    /** Removes a ready request without a refund; does nothing if it is not ready. */
    void removeReady(Request request) {
        if (ready.remove(request)) {
            notifyNextReady();
        }
    }

    void cancel(Request request) {
        if (queue.remove(request)) {
            onRemovedFromQueue(request);
        }
        ready.remove(request);
        engine.cancel(request);
        notifyNextReady();
    }

    /** Adjusts the charge of a completed request from the predicted to the actual number of output tokens. */
    void adjustCharge(Request request) {
        long difference = OUTPUT_WEIGHT * (request.arrival.outputTokens() - predictedOutputTokens);
        queue.adjustCharge(team(request), request.priority(), difference);
    }

    Load load() {
        long backlogMs = (engine.backlogUs() + queuedInteractivePrefillUs) / 1_000;
        return new Load(
                0, 0, engine.requestCount(), queue.size(), backlogMs, ramp.limit(), ramp.isCold(), isDraining());
    }

    // One request runs and one more is prepared. Batch work is preempted in the engine, so it does not count against
    // the limit for interactive requests.
    private void notifyNextReady() {
        int limit = safeguards.coldStartRamp() ? ramp.limit() : 2;
        while (queue.size() > 0) {
            boolean interactive = queue.peek().orElseThrow().priority() == Priority.INTERACTIVE;
            int readyAhead = (int) ready.stream()
                    .filter(r -> !interactive || r.priority() == Priority.INTERACTIVE)
                    .count();
            if (readyAhead + (interactive ? engine.interactiveRequestCount() : engine.requestCount()) >= limit) {
                return;
            }
            Request request = queue.poll().orElseThrow();
            onRemovedFromQueue(request);
            ready.add(request);
            onReady.accept(this, request);
        }
    }

    private void add(Request request) {
        queue.add(team(request), weights.get(request.arrival.team()), request.priority(), cost(request), request);
        long prefillUs = request.isOnTimeInteractive() ? engine.prefillUs(request) : 0;
        queuedPrefillUs.put(request, prefillUs);
        queuedInteractivePrefillUs += prefillUs;
    }

    private void onRemovedFromQueue(Request request) {
        queuedInteractivePrefillUs -= queuedPrefillUs.remove(request);
    }

    // Time until the prefill of the request would end: the engine's backlog, the queued prefill time that fair queueing
    // puts ahead of the request, and its own prefill.
    private long timeToPrefillEndUs(Request request) {
        double ahead = queue.costAhead(team(request), weights.get(request.arrival.team()), Priority.INTERACTIVE);
        double share = ahead / Math.max(1, queue.queuedCost(Priority.INTERACTIVE));
        return engine.backlogUs() + Math.round(share * queuedInteractivePrefillUs) + engine.prefillUs(request);
    }

    private TeamId team(Request request) {
        return safeguards.fairShare() ? request.arrival.team() : SINGLE_TEAM;
    }

    private long cost(Request request) {
        return request.arrival.promptTokens() + OUTPUT_WEIGHT * predictedOutputTokens;
    }
}
