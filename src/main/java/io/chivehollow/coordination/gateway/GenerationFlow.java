package io.chivehollow.coordination.gateway;

import java.util.List;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.gateway.TokenBudget.Reservation;
import io.chivehollow.protocol.openai.GenerationRequest;
import io.chivehollow.protocol.openai.Usage;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.ReserveDecode;
import io.chivehollow.protocol.wire.Tokens;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Processes one generation request: admission at a prefill server, reservation at a decode server, prefill and decode.
 *
 * <p>A prompt can be processed directly if it is short apart from its cached prefix: it needs no admission, because the
 * engine of the decode server prefills the prompt itself.
 *
 * <p>Thread-safe; every event is handled under the flow's lock. Invariants:
 *
 * <ul>
 *   <li>A prefill starts only while memory is reserved at a decode server.
 *   <li>At most one prefill call and one decode call are open.
 *   <li>Nothing is retried after the first output text.
 *   <li>The listener is notified of the end exactly once, unless the caller has disconnected.
 *   <li>The token budget is settled exactly once.
 * </ul>
 */
final class GenerationFlow implements OpenRequest, PrefillStage.Listener, DecodeStage.Listener {

    private static final Logger LOG = Logger.getLogger(GenerationFlow.class);

    /** Delay before the first retry of a request that all candidates have refused. */
    private static final int INITIAL_BACKOFF_MS = 20;

    /** Upper limit of the delay, which doubles with each retry. */
    private static final int MAX_BACKOFF_MS = 320;

    /**
     * Delay before the next retry of a request that has missed its first token target. It is long enough that such
     * requests do not displace batch requests in the queues of the prefill servers.
     */
    private static final int MISSED_TARGET_BACKOFF_MS = 250;

    private final GatewayCore core;
    private final RequestContext context;
    private final GenerationRequest request;
    private final GenerationCost cost;
    private final GenerationListener listener;
    private final FlowTimes times;
    private final FirstTokenTarget firstTokenTarget;
    private final TokenSequence sequence = new TokenSequence();
    private final FlowLifecycle lifecycle;
    private final GenerationTargets targets;
    private @Nullable PrefillStage prefill;
    private @Nullable DecodeStage decode;
    private @Nullable PrefillDone prefillResult;
    private long prefillExpiryNanos;
    private long expectedKvBytes;
    private int backoffMs = INITIAL_BACKOFF_MS;
    private boolean isQueueTimedOut;
    private boolean isPrefillStarted;
    private boolean isDecodeStarted;
    private boolean mayHaveRun;
    private boolean hasStreamed;
    private boolean hasRetriedDecode;
    private boolean hasRestarted;

    GenerationFlow(
            GatewayCore core,
            RequestContext context,
            GenerationRequest request,
            GenerationCost cost,
            GenerationListener listener) {
        this.core = core;
        this.context = context;
        this.request = request;
        this.cost = cost;
        this.listener = listener;
        this.lifecycle = new FlowLifecycle(core, this);
        this.times = new FlowTimes(core.clock(), core.metrics(), context);
        this.targets = new GenerationTargets(core, request, cost);
        this.firstTokenTarget = new FirstTokenTarget(core.clock(), context, cost.firstTokenTargetMs());
    }

    @Override
    public RequestContext context() {
        return context;
    }

    /** Starts the request, which first waits for token budget. */
    void start() {
        if (!lifecycle.register(this::onDisconnect, this::onDeadline)) {
            return;
        }
        synchronized (this) {
            lifecycle.schedule(core.maxQueueMs(context), this::onQueueTimeout);
        }
        lifecycle.reserve(cost.chargedTokens(), this::onBudget);
    }

    private synchronized void onBudget(@Nullable Reservation reservation, @Nullable Throwable failure) {
        if (reservation == null) {
            end(
                    failure == null
                            ? Failures.of(ErrorCode.INTERNAL, "The token budget returned no reservation", true)
                            : Failures.unwrap(failure));
            return;
        }
        if (lifecycle.attachBudget(reservation) && checkKey()) {
            beginRound();
        }
    }

    private synchronized void beginRound() {
        if (lifecycle.isEnded()) {
            return;
        }
        try {
            placeRequest();
        } catch (RuntimeException e) {
            LOG.error("Placing a request failed unexpectedly; the request ends with an error", e);
            end(Failures.unwrap(e));
        }
    }

    /**
     * Starts a round, in which the highest-ranked candidates are tried first: a direct round if a decode server may
     * prefill the prompt itself, otherwise a round at the prefill servers.
     */
    private void placeRequest() {
        if (targets.startDirectRound()) {
            reserveNext(
                    Failures.of(ErrorCode.OVERLOADED, "No decode server has enough free memory for the request", true));
        } else {
            startPrefillRound();
        }
    }

    private void startPrefillRound() {
        if (!targets.startPrefillRound()) {
            ErrorCode code = ErrorCode.NO_BACKEND_SERVER;
            onRoundRefused(
                    Failures.of(code, "This model has no prefill server or no decode server in service", !mayHaveRun));
            return;
        }
        admitNext(Failures.of(ErrorCode.OVERLOADED, "No prefill server accepted the request", true));
    }

    /** Returns the error for the caller; a lost connection becomes the error that no backend server is available. */
    private static ChivehollowException toCallerError(ChivehollowException lastFailure) {
        if (lastFailure.code() != ErrorCode.CONNECTION_LOST) {
            return lastFailure;
        }
        return Failures.of(ErrorCode.NO_BACKEND_SERVER, "No backend server was reachable", lastFailure.isNotRun());
    }

    private void admitNext(ChivehollowException lastFailure) {
        if (Failures.isCausedByRequest(lastFailure)) {
            end(lastFailure);
            return;
        }
        Target target = targets.nextPrefill();
        if (target == null) {
            if (lastFailure.code() == ErrorCode.OVERLOADED) {
                firstTokenTarget.markMissed();
            }
            onRoundRefused(lastFailure);
            return;
        }
        prefill = PrefillStage.create(
                core.connections(), target, cost.requestInfo(request, context, firstTokenTarget, core), this);
        prefill.admit();
    }

    private void reserveNext(ChivehollowException lastFailure) {
        if (Failures.isCausedByRequest(lastFailure)) {
            end(lastFailure);
            return;
        }
        Target target = targets.nextDecode();
        if (target != null) {
            ReserveDecode reservation = targets.isDirect()
                    ? cost.directReservation(request, context, firstTokenTarget, core)
                    : cost.reservation(request, context, firstTokenTarget, core, expectedKvBytes);
            decode = DecodeStage.create(core.connections(), target, reservation, this);
            decode.reserve();
            return;
        }
        decode = null;
        if (isPrefillStarted) {
            restart(lastFailure);
            return;
        }
        cancelStages();
        if (targets.isDirect() && !cost.isDirect(0)) {
            // The direct round tried only the decode servers that have the prefix of the prompt cached.
            startPrefillRound();
            return;
        }
        onRoundRefused(lastFailure);
    }

    /** Schedules another round after a delay, or refuses the request if its queue timeout does not allow that. */
    private void onRoundRefused(ChivehollowException lastFailure) {
        long queueTimeLeftMs = core.maxQueueMs(context) - context.elapsedMs(core.clock());
        boolean isQueueTooLong =
                lastFailure.code() == ErrorCode.OVERLOADED && targets.isShortestQueueLongerThan(queueTimeLeftMs);
        if (isQueueTimedOut || isQueueTooLong) {
            end(toCallerError(lastFailure));
            return;
        }
        int jitterMs = core.random().nextInt(backoffMs) / 2;
        lifecycle.schedule(backoffMs + jitterMs, this::beginRound);
        backoffMs = firstTokenTarget.isMissed() ? MISSED_TARGET_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }

    @Override
    public synchronized void onPrefillReady(PrefillStage stage, PrefillReady ready) {
        storeLoad(stage.target(), ready.hasLoad() ? ready.getLoad() : null);
        core.servers()
                .prefillPrefixes()
                .onCachedPrefixReport(stage.target().id(), request.prefixHashes(), ready.getCachedPrefixTokens());
        if (lifecycle.isEnded() || stage != prefill || isPrefillStarted || !checkKey()) {
            return;
        }
        expectedKvBytes = ready.getKvBytes();
        if (ready.getLate()) {
            firstTokenTarget.markMissed();
        }
        targets.startDecodeRound(null);
        reserveNext(Failures.of(ErrorCode.OVERLOADED, "No decode server has enough free memory for the request", true));
    }

    @Override
    public synchronized void onReserved(DecodeStage stage, @Nullable Load load) {
        storeLoad(stage.target(), load);
        core.servers()
                .decodePrefixes()
                .onCachedPrefixReport(stage.target().id(), request.prefixHashes(), stage.cachedPrefixTokens());
        PrefillStage readyPrefill = prefill;
        if (lifecycle.isEnded() || stage != decode) {
            return;
        }
        if (targets.isDirect()) {
            startDirectDecode(stage);
            return;
        }
        if (readyPrefill == null) {
            return;
        }
        if (isPrefillStarted) {
            startDecodeIfReady();
            return;
        }
        if (!beginPrefill()) {
            return;
        }
        String decodeAddress = HostAndPorts.toText(stage.target().sidecarAddress());
        readyPrefill.start(cost.engineBody(request), request.kind().path(), decodeAddress);
    }

    private void startDirectDecode(DecodeStage reservedStage) {
        if (isDecodeStarted) {
            return;
        }
        if (!cost.isDirect(reservedStage.cachedPrefixTokens())) {
            reservedStage.cancel();
            reserveNext(Failures.of(
                    ErrorCode.OVERLOADED,
                    "The decode server no longer has the prefix of the prompt in its cache",
                    true));
            return;
        }
        if (beginPrefill()) {
            isDecodeStarted = true;
            reservedStage.start(
                    PrefillDone.getDefaultInstance(),
                    cost.engineBody(request),
                    request.kind().path());
        }
    }

    /** Returns whether the prompt may be sent to an engine. If so, the request counts as possibly run from now on. */
    private boolean beginPrefill() {
        if (context.remainingMs(core.clock()) == 0) {
            onDeadline();
            return false;
        }
        if (!checkKey()) {
            return false;
        }
        times.onDequeued();
        isPrefillStarted = true;
        mayHaveRun = true;
        return true;
    }

    @Override
    public synchronized void onPrefilled(PrefillStage stage, PrefillDone done) {
        storeLoad(stage.target(), done.hasLoad() ? done.getLoad() : null);
        if (lifecycle.isEnded() || stage != prefill || !isPrefillStarted || prefillResult != null) {
            return;
        }
        core.servers().prefillPrefixes().onPrefilled(stage.target().id(), request.prefixHashes());
        prefillResult = done;
        prefillExpiryNanos = core.clock().nanoTime() + done.getExpiresMs() * 1_000_000L;
        startDecodeIfReady();
    }

    private void startDecodeIfReady() {
        DecodeStage reservedStage = decode;
        PrefillDone done = prefillResult;
        if (isDecodeStarted || reservedStage == null || !reservedStage.isReserved() || done == null) {
            return;
        }
        isDecodeStarted = true;
        reservedStage.start(done, cost.engineBody(request), request.kind().path());
    }

    @Override
    public synchronized void onTokens(DecodeStage stage, Tokens tokens) {
        if (lifecycle.isEnded() || stage != decode || !isDecodeStarted) {
            return;
        }
        if (prefill != null) {
            // The decode engine has received the KV cache, so the prefill engine need not keep it until it expires.
            prefill.cancel();
            prefill = null;
        }
        if (targets.isDirect() && !hasStreamed) {
            core.servers().decodePrefixes().onPrefilled(stage.target().id(), request.prefixHashes());
        }
        List<Tokens> inOrder = sequence.accept(tokens);
        for (Tokens ready : core.isEnabled(GatewaySafeguard.TOKEN_ORDER) ? inOrder : List.of(tokens)) {
            hasStreamed = true;
            times.onTokens(ready.getCount());
            if (!ready.getText().isEmpty() && !listener.onText(ready.getText())) {
                end(Failures.of(
                        ErrorCode.CALLER_TOO_SLOW,
                        "The caller read too slowly: the buffer for unread output is full",
                        false));
                return;
            }
        }
    }

    @Override
    public synchronized void onGenerated(DecodeStage stage, GenerationDone done) {
        storeLoad(stage.target(), done.hasLoad() ? done.getLoad() : null);
        if (lifecycle.isEnded() || stage != decode || !isDecodeStarted) {
            return;
        }
        boolean isIncomplete = sequence.hasGap() || done.getFinishReason().isEmpty();
        if (isIncomplete && core.isEnabled(GatewaySafeguard.COMPLETENESS_CHECK)) {
            fail(Failures.of(
                    ErrorCode.BACKEND_FAILED,
                    "The backend server's response is incomplete: tokens or the finish reason are missing",
                    false));
            return;
        }
        Usage usage = new Usage(done.getPromptTokens(), done.getOutputTokens());
        close(usage.promptTokens() + (long) usage.outputTokens());
        times.onDone(usage);
        RequestLog.completed(context, context.elapsedMs(core.clock()));
        listener.onDone(usage, done.getFinishReason());
    }

    @Override
    public synchronized void onPrefillFailed(PrefillStage stage, ChivehollowException failure, @Nullable Load load) {
        storeLoad(stage.target(), load);
        if (lifecycle.isEnded() || stage != prefill || prefillResult != null) {
            return;
        }
        prefill = null;
        targets.onPrefillRefused(load);
        if (!isPrefillStarted) {
            cancelStages();
            admitNext(failure);
            return;
        }
        if (failure.isNotRun() && !hasRestarted) {
            // The sidecar refused the start, so the request is handled as after a refused admission.
            mayHaveRun = false;
            isPrefillStarted = false;
            cancelStages();
            admitNext(failure);
            return;
        }
        restart(failure);
    }

    @Override
    public synchronized void onDecodeFailed(DecodeStage stage, ChivehollowException failure, @Nullable Load load) {
        storeLoad(stage.target(), load);
        if (lifecycle.isEnded() || stage != decode) {
            return;
        }
        boolean isFinal = hasStreamed && core.isEnabled(GatewaySafeguard.NO_RETRY_AFTER_OUTPUT);
        if (isFinal || Failures.isCausedByRequest(failure)) {
            fail(failure);
            return;
        }
        if (!isDecodeStarted && !stage.isReserved()) {
            reserveNext(failure);
            return;
        }
        if (targets.isDirect() && failure.isNotRun() && !hasRetriedDecode && !hasRestarted) {
            // The sidecar refused the start, so the request is handled as after a refused reservation.
            mayHaveRun = false;
            isPrefillStarted = false;
            isDecodeStarted = false;
            reserveNext(failure);
            return;
        }
        boolean canRetryDecode = !hasRetriedDecode
                && (prefillResult == null || core.clock().nanoTime() < prefillExpiryNanos)
                && core.retryBudget().tryAcquire();
        if (!canRetryDecode) {
            restart(failure);
            return;
        }
        // The reservation was lost while the prefill is running or its result is still valid. One other server may take
        // over the decode.
        hasRetriedDecode = true;
        isDecodeStarted = false;
        core.metrics().countRetry();
        targets.startDecodeRound(stage.target());
        reserveNext(failure);
    }

    /**
     * Restarts the request from the admission, at most once, if no output was streamed and the deadline and the retry
     * budget allow it; fails it otherwise.
     */
    private void restart(ChivehollowException failure) {
        cancelStages();
        boolean canRestart = !hasRestarted
                && !hasStreamed
                && context.remainingMs(core.clock()) > 0
                && core.retryBudget().tryAcquire();
        if (!canRestart) {
            fail(failure);
            return;
        }
        hasRestarted = true;
        hasRetriedDecode = true;
        isPrefillStarted = false;
        isDecodeStarted = false;
        prefillResult = null;
        core.metrics().countRetry();
        beginRound();
    }

    /** Returns whether the API key is still valid; ends the request if it is not. */
    private boolean checkKey() {
        ApiKeys.CheckedKey key = context.key();
        if (key == null || !core.isEnabled(GatewaySafeguard.KEY_RECHECK)) {
            return true;
        }
        try {
            ApiKeys.recheck(core.config(), key);
            return true;
        } catch (ChivehollowException e) {
            end(e);
            return false;
        }
    }

    private synchronized void onQueueTimeout() {
        isQueueTimedOut = true;
        if (!isPrefillStarted && !mayHaveRun) {
            ErrorCode code = !lifecycle.hasBudget() ? ErrorCode.RATE_LIMITED : ErrorCode.OVERLOADED;
            end(Failures.of(code, "The request exceeded its queue timeout before it was started", true));
        }
    }

    private synchronized void onDeadline() {
        end(Failures.of(ErrorCode.DEADLINE_EXCEEDED, "The request was not completed before its deadline", false));
    }

    private synchronized void onDisconnect() {
        if (lifecycle.isEnded()) {
            return;
        }
        close(usedTokens());
        core.metrics().countFailed(context.team(), ErrorCode.CANCELLED, !mayHaveRun);
    }

    @Override
    public synchronized void revoke(ChivehollowException reason) {
        end(reason);
    }

    @Override
    public synchronized void abandon(ErrorCode code, String message) {
        end(Failures.of(code, message, false));
    }

    /** Ends the request because a backend server failed; the caller receives a gateway error. */
    private void fail(ChivehollowException failure) {
        end(Failures.ofBackend(failure));
    }

    /** Ends the request with an error, whose "not run" is taken from the state of this flow and not from the error. */
    private void end(ChivehollowException failure) {
        if (lifecycle.isEnded()) {
            return;
        }
        ChivehollowException callerError =
                Failures.of(failure.code(), String.valueOf(failure.getMessage()), !mayHaveRun);
        close(usedTokens());
        core.metrics().countFailed(context.team(), callerError.code(), callerError.isNotRun());
        RequestLog.failed(context, callerError, context.elapsedMs(core.clock()));
        List<Pool> pools = core.config()
                .current()
                .map(configuration -> configuration.pools(cost.model(), PoolRole.PREFILL))
                .orElse(List.of());
        listener.onFailed(RetryAfter.addTo(callerError, core, context, cost.chargedTokens(), pools));
    }

    private long usedTokens() {
        return mayHaveRun ? request.promptTokens() + (long) sequence.count() : 0;
    }

    private void close(long usedTokens) {
        cancelStages();
        lifecycle.close(usedTokens);
    }

    private void cancelStages() {
        PrefillStage openPrefill = prefill;
        DecodeStage openDecode = decode;
        prefill = null;
        decode = null;
        if (openPrefill != null) {
            openPrefill.cancel();
        }
        if (openDecode != null) {
            openDecode.cancel();
        }
    }

    private void storeLoad(Target target, @Nullable Load load) {
        if (load != null) {
            core.servers().onLoad(target.id(), load);
        }
    }
}
