package io.chivehollow.coordination.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.ReserveDecode;
import io.chivehollow.transport.ServerCall;

/**
 * Reservations and generations of one decode engine.
 *
 * <p>Used on the sidecar's event loop. A reservation that does not fit is refused at once, so that the gateway can try
 * another decode server. Prompts that the engine prefills itself delay the tokens of all requests in its batch;
 * therefore these requests wait in a fair queue and are charged like prefills. Invariant: the engine prefills one of
 * these prompts at a time, or several that together have at most the {@code direct_prompt_tokens} of their model. The
 * queue is bounded by the number of requests that the engine can hold, since only requests with a reservation wait.
 */
final class DecodeCalls {

    /** Consecutive checks in which all streams are late; a single one may be due to a pause of this process. */
    private static final int MIN_SLOW_SWEEPS = 2;

    private final SidecarContext context;
    private final LinkBudget link;
    private final CallQueue<DecodeCall> queue;
    private final Map<DecodeCall, Integer> prefillTokensByCall = new HashMap<>();
    private final PrefixIndex prefixIndex = PrefixIndex.create();
    private int prefillingTokens;
    private int slowSweeps;

    DecodeCalls(SidecarContext context) {
        this.context = context;
        this.queue = new CallQueue<>(context.admission());
        this.link = new LinkBudget(
                context.options().linkBytesPerSecond(), context.options().prefillExpiryMs());
    }

    DecodeCall open(ServerCall call, ReserveDecode message) {
        DecodeCall decode = new DecodeCall(context, this, call, message);
        context.runFirstTask(call, decode::begin);
        return decode;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    LinkBudget link() {
        return link;
    }

    void add(DecodeCall call) {
        queue.add(call);
    }

    void remove(DecodeCall call) {
        queue.remove(call);
        removePrefill(call);
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

    /** Returns the number of leading prompt tokens that the engine has prefilled itself and has probably cached. */
    int cachedPrefixTokens(RequestInfo request) {
        return prefixIndex.cachedTokens(request);
    }

    private int uncachedTokens(RequestInfo request) {
        return Math.max(1, request.getPromptTokens() - cachedPrefixTokens(request));
    }

    /** Queues a call whose prompt the engine prefills itself; {@link #advance} starts it later. */
    void enqueue(DecodeCall call) {
        RequestInfo request = call.request();
        long cost = PrefillCalls.cost(request, uncachedTokens(request));
        queue.enqueue(call, request.getTeam(), PrefillCalls.priorityOf(request), cost);
    }

    /** Starts as many queued calls as the engine may prefill concurrently. */
    void advance() {
        Optional<DecodeCall> next = queue.peek();
        while (next.isPresent() && mayPrefill(next.get().request())) {
            DecodeCall call = next.get();
            queue.poll();
            int tokens = uncachedTokens(call.request());
            prefillTokensByCall.put(call, tokens);
            prefillingTokens += tokens;
            call.sendToEngine();
            next = queue.peek();
        }
    }

    private boolean mayPrefill(RequestInfo request) {
        return prefillTokensByCall.isEmpty()
                || !context.isEnabled(SidecarSafeguard.DIRECT_PREFILL_QUEUE)
                || prefillingTokens + uncachedTokens(request)
                        <= context.admission().directPromptTokens(request.getModel());
    }

    /** Records that the engine has prefilled the prompt of the call. */
    void onPrefilled(DecodeCall call) {
        prefixIndex.add(call.request().getPrefixHashesList());
        removePrefill(call);
        advance();
    }

    private void removePrefill(DecodeCall call) {
        Integer tokens = prefillTokensByCall.remove(call);
        if (tokens != null) {
            prefillingTokens -= tokens;
        }
    }

    /** Adjusts the charge of the team from the estimated to the actual length of the prompt. */
    void adjustCharge(RequestInfo request, int promptTokens) {
        long difference = (long) promptTokens - request.getPromptTokens();
        queue.adjustCharge(request.getTeam(), PrefillCalls.priorityOf(request), difference);
    }

    void onEngineRestart() {
        prefixIndex.clear();
        queue.openCalls().forEach(DecodeCall::onEngineRestart);
    }

    /** Checks for a slow engine, withdrawn keys and reservations on a draining server; called periodically. */
    void sweep() {
        queue.openCalls().forEach(DecodeCall::sweep);
        detectSlowEngine();
    }

    private void detectSlowEngine() {
        List<DecodeCall> open = queue.openCalls();
        boolean hasStream = open.stream().anyMatch(DecodeCall::isStreaming);
        boolean isSlow = hasStream && open.stream().allMatch(call -> !call.isStreaming() || call.isNextTokenLate());
        slowSweeps = isSlow ? slowSweeps + 1 : 0;
        boolean isCertain = slowSweeps >= MIN_SLOW_SWEEPS && context.isEnabled(SidecarSafeguard.SLOW_TOKEN_DETECTION);
        if (isCertain && context.capacity().slotLimit() > 1) {
            context.capacity().onFailure();
        }
    }
}
