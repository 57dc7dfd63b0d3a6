package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.protocol.engine.PrefillResult;
import io.chivehollow.protocol.wire.AdmitPrefill;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.transport.ServerCall;

/**
 * Queues and orders the prefills of one engine.
 *
 * <p>Used on the sidecar's event loop. Invariant: the requests that are announced to their gateways exceed the free
 * slots of the engine by at most one; the others wait in the fair queue.
 */
final class PrefillCalls {

    /** Requests that are announced before a slot is free, which hides the round trips to the decode servers. */
    private static final int ANNOUNCED_AHEAD = 1;

    /** Bounds the memory of the queue; far more requests than can be served before their deadlines. */
    static final int MAX_QUEUED = 1_000;

    /** Cost of an output token in prompt tokens: a prefill of 8,000 tokens costs as much as tens of output tokens. */
    private static final int OUTPUT_TOKEN_COST = 10;

    /**
     * Time from the end of a prefill to the first token, without the transfer: 1.5 decode steps of 30 ms and the round
     * trips.
     */
    private static final int FIRST_DECODE_STEP_MS = 50;

    private static final double MS_PER_SECOND = 1_000;

    private final SidecarContext context;
    private final CallQueue<PrefillCall> queue;
    private final List<PrefillCall> announced = new ArrayList<>();
    private final PrefixIndex prefixIndex = PrefixIndex.create();
    private final KvCacheSizes kvCacheSizes = new KvCacheSizes();
    private final PrefillTimes prefillTimes;
    private final Set<PrefillCall> running = new LinkedHashSet<>();
    /** Expected prefill time of all queued requests on a warm engine. */
    private double queuedWarmMs;
    /** Expected prefill time of the queued interactive requests on a warm engine. */
    private double queuedInteractiveWarmMs;

    private long lastPrefillEndMs;

    PrefillCalls(SidecarContext context) {
        this.context = context;
        this.queue = new CallQueue<>(context.admission());
        this.prefillTimes = new PrefillTimes(context.options().ramp());
    }

    PrefillCall open(ServerCall call, AdmitPrefill message) {
        PrefillCall prefill = new PrefillCall(context, this, call, message.getRequest());
        context.runFirstTask(call, prefill::begin);
        return prefill;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int queuedCount() {
        return queue.queuedCount();
    }

    int queuedCount(TeamId team) {
        return queue.queuedCount(team);
    }

    int queuedCount(TeamId team, Priority priority) {
        return queue.queuedCount(team, priority);
    }

    int queuedMs() {
        return (int) Math.min(Integer.MAX_VALUE, prefillTimes.expectedMs(queuedWarmMs));
    }

    /** Returns the expected time of the request's prefill on a warm engine; cached prefix tokens take none. */
    double warmMs(RequestInfo request) {
        return prefillTimes.warmMs(request.getPromptTokens() - cachedPrefixTokens(request));
    }

    /** Returns the expected wait of a new interactive request, in milliseconds, until its prefill starts. */
    long waitMs(PrefillCall call) {
        double share = queue.shareAhead(call.request().getTeam(), Priority.INTERACTIVE);
        return Math.round(remainingBacklogMs() + prefillTimes.expectedMs(share * queuedInteractiveWarmMs));
    }

    /** Returns the remaining time of all announced and started prefills, which the engine computes one by one. */
    private double remainingBacklogMs() {
        double warmMs = 0;
        for (PrefillCall call : announced) {
            warmMs += call.warmMs();
        }
        for (PrefillCall call : running) {
            warmMs += call.warmMs();
        }
        long elapsedMs = running.isEmpty()
                ? 0
                : context.nowMs()
                        - Math.max(lastPrefillEndMs, running.iterator().next().startedMs());
        return Math.max(0, prefillTimes.expectedMs(warmMs) - elapsedMs);
    }

    /** Returns the expected time from the end of the request's prefill to its first token. */
    long prefillToFirstTokenMs(RequestInfo request) {
        double transferMs =
                expectedKvBytes(request) * MS_PER_SECOND / context.options().linkBytesPerSecond();
        return Math.round(transferMs) + FIRST_DECODE_STEP_MS;
    }

    /** Returns whether a request would miss its first token target if its prefill started after this time. */
    boolean wouldMissTarget(PrefillCall call, long waitMs) {
        return call.missesTargetAfter(waitMs + Math.round(prefillTimes.expectedMs(call.warmMs())));
    }

    void add(PrefillCall call) {
        queue.add(call);
    }

    void remove(PrefillCall call) {
        announced.remove(call);
        running.remove(call);
        dequeue(call);
        queue.remove(call);
    }

    void enqueue(PrefillCall call) {
        RequestInfo request = call.request();
        queue.enqueue(call, request.getTeam(), call.priority(), cost(request, request.getPromptTokens()));
        updateQueuedTimes(call, 1);
    }

    private void updateQueuedTimes(PrefillCall call, int sign) {
        queuedWarmMs += sign * call.warmMs();
        queuedInteractiveWarmMs += call.priority() == Priority.INTERACTIVE ? sign * call.warmMs() : 0;
        if (queue.queuedCount() == 0) {
            // Removes the accumulated rounding errors of the sums.
            queuedWarmMs = 0;
            queuedInteractiveWarmMs = 0;
        }
    }

    /** Returns the cost, in prompt tokens, of a request whose prefill computes the given number of tokens. */
    static long cost(RequestInfo request, int computedTokens) {
        return Math.max(1, computedTokens + (long) OUTPUT_TOKEN_COST * request.getPredictedOutputTokens());
    }

    static Priority priorityOf(RequestInfo request) {
        return request.getPriority() == io.chivehollow.protocol.wire.Priority.BATCH
                ? Priority.BATCH
                : Priority.INTERACTIVE;
    }

    private void dequeue(PrefillCall call) {
        if (queue.dequeue(call)) {
            updateQueuedTimes(call, -1);
        }
    }

    /** Starts and announces as many requests as the slots and the memory of the engine allow. */
    void advance() {
        for (PrefillCall call : List.copyOf(announced)) {
            call.startIfPossible();
        }
        if (!context.monitor().isReady()) {
            return;
        }
        while (announced.size()
                < context.capacity().slotLimit() - context.capacity().startedCount() + ANNOUNCED_AHEAD) {
            Optional<PrefillCall> next = queue.peek();
            if (next.isEmpty()) {
                return;
            }
            if (next.get().endIfRefused()) {
                dequeue(next.get());
                continue;
            }
            if (wouldMissTarget(next.get(), Math.round(remainingBacklogMs()))) {
                dequeue(next.get());
                next.get().downgradeToBatch();
                enqueue(next.get());
                continue;
            }
            Optional<Lease> lease = next.get().tryLease();
            if (lease.isEmpty()) {
                return;
            }
            queue.poll();
            updateQueuedTimes(next.get(), -1);
            announced.add(next.get());
            recordQueueWait(next.get());
            next.get().announce(lease.get());
        }
    }

    private void recordQueueWait(PrefillCall call) {
        boolean isBatch = priorityOf(call.request()) == Priority.BATCH;
        context.metrics()
                .recordQueueWait(
                        ReleasedAdmission.teamOf(call.request().getTeam()),
                        isBatch ? RequestClass.BATCH : RequestClass.INTERACTIVE,
                        call.waitedMs());
    }

    void onStarted(PrefillCall call) {
        announced.remove(call);
        running.add(call);
    }

    /** Adjusts the charge to the actual prompt length and updates the estimates of size, cache and prefill time. */
    void onPrefilled(PrefillCall call, PrefillResult result) {
        int promptTokens = result.promptTokens();
        RequestInfo request = call.request();
        kvCacheSizes.update(request.getModel(), result.kvBytes(), promptTokens);
        prefixIndex.add(request.getPrefixHashesList());
        long difference = (long) promptTokens - request.getPromptTokens();
        queue.adjustCharge(request.getTeam(), call.priority(), difference);
        running.remove(call);
        long nowMs = context.nowMs();
        prefillTimes.record(call.warmMs(), nowMs - Math.max(call.startedMs(), lastPrefillEndMs));
        lastPrefillEndMs = nowMs;
    }

    /** Returns the expected KV cache size in bytes, based on the last prefill of the model; 0 before the first one. */
    long expectedKvBytes(RequestInfo request) {
        return kvCacheSizes.expectedBytes(request.getModel(), request.getPromptTokens());
    }

    int cachedPrefixTokens(RequestInfo request) {
        return prefixIndex.cachedTokens(request);
    }

    void onEngineRestart() {
        prefixIndex.clear();
        queue.openCalls().forEach(PrefillCall::onEngineRestart);
        advance();
    }

    /** Refuses waiting requests that may no longer start, and starts others; called periodically. */
    void sweep() {
        queue.openCalls().forEach(PrefillCall::sweep);
        advance();
    }
}
