package io.chivehollow.coordination.sidecar;

import java.util.Optional;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.protocol.engine.EngineException;
import io.chivehollow.protocol.engine.EngineRequest;
import io.chivehollow.protocol.engine.PrefillResult;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.Release;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.StartPrefill;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jspecify.annotations.Nullable;

/**
 * One prefill from its admission until the engine no longer retains its result.
 *
 * <p>A queued call is announced to its gateway with PrefillReady, after which the gateway reserves a decode server and
 * sends StartPrefill. The listener methods are thread-safe; everything else is used on the sidecar's event loop.
 * Invariant: the call holds a lease from its announcement until the engine has confirmed that it holds nothing for the
 * request any more. PrefillDone does not end the call: while the engine retains the result, a cancellation releases it
 * at once.
 */
final class PrefillCall implements ServerCallListener {

    private enum State {
        NEW,
        QUEUED,
        ANNOUNCED,
        START_REQUESTED,
        RUNNING,
        RESULT_RETAINED,
        ENDED
    }

    /** Margin for the transmission of the response; the engine discards an expired result by its own clock. */
    private static final int EXPIRY_MARGIN_MS = 50;

    private static final int NO_DEADLINE_MS = 600_000;

    private final SidecarContext context;
    private final PrefillCalls calls;
    private final ServerCall call;
    private final RequestInfo request;
    private final long createdMs;
    private final long deadlineMs;
    private final long firstTokenDeadlineMs;
    private final EngineResources<PrefillResult> resources;
    private State state = State.NEW;
    private @Nullable KeyCheck keyCheck;
    private @Nullable RequestId engineId;
    private @Nullable StartPrefill start;
    private long startedMs;
    private double warmMs;
    private boolean isDowngraded;

    PrefillCall(SidecarContext context, PrefillCalls calls, ServerCall call, RequestInfo request) {
        this.context = context;
        this.resources = new EngineResources<>(context);
        this.calls = calls;
        this.call = call;
        this.request = request;
        int remainingMs = request.getDeadlineMs() == 0 ? NO_DEADLINE_MS : request.getDeadlineMs();
        this.createdMs = context.nowMs();
        this.deadlineMs = createdMs + remainingMs;
        this.firstTokenDeadlineMs = createdMs + request.getFirstTokenMs();
    }

    RequestInfo request() {
        return request;
    }

    long waitedMs() {
        return context.nowMs() - createdMs;
    }

    /** Returns the expected time of the prefill on a warm engine. */
    double warmMs() {
        return warmMs;
    }

    long startedMs() {
        return startedMs;
    }

    Priority priority() {
        return isDowngraded ? Priority.BATCH : PrefillCalls.priorityOf(request);
    }

    /** Returns whether an interactive request misses its target if its prefill ends this many milliseconds from now. */
    boolean missesTargetAfter(long prefillMs) {
        return context.isEnabled(SidecarSafeguard.LATE_REQUEST_HANDLING)
                && request.getFirstTokenMs() > 0
                && priority() == Priority.INTERACTIVE
                && context.nowMs() + prefillMs + calls.prefillToFirstTokenMs(request) > firstTokenDeadlineMs;
    }

    /** Treats the request as batch work, so that it does not delay others that can still meet their target. */
    void downgradeToBatch() {
        isDowngraded = true;
    }

    void begin() {
        if (state != State.NEW || context.refuseIfUnavailable(call, isForTeam())) {
            state = State.ENDED;
            return;
        }
        int blocks = context.capacity().blocksFor(request.getPromptTokens());
        if (blocks > context.capacity().totalBlocks()) {
            state = State.ENDED;
            context.fail(
                    call,
                    ErrorCode.CONTEXT_LENGTH_EXCEEDED,
                    "The prompt needs more memory blocks than the engine has",
                    true);
            return;
        }
        if (calls.queuedCount() >= PrefillCalls.MAX_QUEUED) {
            state = State.ENDED;
            context.fail(call, ErrorCode.OVERLOADED, "The sidecar's queue of prefills is full", true);
            return;
        }
        warmMs = calls.warmMs(request);
        long waitMs = calls.waitMs(this);
        if (calls.wouldMissTarget(this, waitMs)) {
            state = State.ENDED;
            context.refuseAsLate(call, "The request would miss its first token target", waitMs);
            return;
        }
        keyCheck = new KeyCheck(context.admission(), request.getKeyId());
        engineId = context.newEngineId(request.getRequestId());
        state = State.QUEUED;
        calls.add(this);
        calls.enqueue(this);
        calls.advance();
    }

    private boolean isForTeam() {
        return !request.getTeam().isEmpty();
    }

    /** Ends the call if it may no longer be started, and returns whether it did. */
    boolean endIfRefused() {
        if (context.nowMs() >= deadlineMs) {
            endNotRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline of the request passed while it was queued");
            return true;
        }
        if (keyCheck != null && keyCheck.isWithdrawn()) {
            endNotRun(ErrorCode.KEY_WITHDRAWN, "The API key was withdrawn while the request was queued");
            return true;
        }
        ReleasedAdmission.Refusal refusal =
                context.admission().refusal(isForTeam()).orElse(null);
        if (refusal != null) {
            endNotRun(refusal.code(), refusal.message());
            return true;
        }
        return false;
    }

    private void endNotRun(ErrorCode code, String message) {
        end();
        context.fail(call, code, message, true);
    }

    Optional<Lease> tryLease() {
        RequestId id = engineId;
        if (id == null) {
            return Optional.empty();
        }
        return context.capacity()
                .tryLease(id, call.connectionId(), context.capacity().blocksFor(request.getPromptTokens()));
    }

    void announce(Lease granted) {
        resources.setLease(granted);
        state = State.ANNOUNCED;
        resources.schedule(context.options().readyTimeoutMs(), this::onReadyTimeout);
        call.send(Frame.newBuilder()
                .setPrefillReady(PrefillReady.newBuilder()
                        .setLoad(context.load())
                        .setCachedPrefixTokens(calls.cachedPrefixTokens(request))
                        .setLate(isDowngraded)
                        .setKvBytes(calls.expectedKvBytes(request))));
    }

    private void onReadyTimeout() {
        if (state == State.ANNOUNCED) {
            resources.release();
            endNotRun(ErrorCode.RESERVATION_EXPIRED, "The gateway did not send StartPrefill in time");
            calls.advance();
        }
    }

    @Override
    public void onFrame(Frame frame) {
        context.run(() -> {
            if (frame.hasStartPrefill() && state == State.ANNOUNCED) {
                start = frame.getStartPrefill();
                state = State.START_REQUESTED;
                resources.cancelTimer();
                startIfPossible();
            } else if (frame.hasRelease()) {
                cancel();
                call.finish(Frame.newBuilder().setRelease(Release.getDefaultInstance()));
            }
        });
    }

    @Override
    public void onCancel() {
        context.run(this::cancel);
    }

    void startIfPossible() {
        Lease lease = resources.lease();
        if (state != State.START_REQUESTED
                || releaseIfRefused()
                || lease == null
                || start == null
                || engineId == null) {
            return;
        }
        if (!context.capacity().tryStart(lease)) {
            return;
        }
        state = State.RUNNING;
        startedMs = context.nowMs();
        calls.onStarted(this);
        EngineRequest engineRequest =
                new EngineRequest(engineId, start.getPath(), start.getBody().toByteArray());
        resources.track(context.engine().prefill(engineRequest), this::onResult, this::onEngineFailure);
    }

    private boolean releaseIfRefused() {
        if (state != State.START_REQUESTED || !endIfRefused()) {
            return false;
        }
        resources.release();
        return true;
    }

    private void onResult(PrefillResult result) {
        Lease lease = resources.lease();
        if (state != State.RUNNING || lease == null) {
            return;
        }
        state = State.RESULT_RETAINED;
        context.capacity().releaseSlot(lease);
        context.capacity().onPrefilled(startedMs, result.promptTokens());
        calls.onPrefilled(this, result);
        int expiresMs = result.timeToLiveMs() > 0
                ? result.timeToLiveMs()
                : context.options().prefillExpiryMs();
        resources.schedule(expiresMs + EXPIRY_MARGIN_MS, this::onResultExpired);
        call.send(Frame.newBuilder()
                .setPrefillDone(PrefillDone.newBuilder()
                        .setHandle(result.handle())
                        .setSourceAddress(result.sourceAddress())
                        .setPromptTokens(result.promptTokens())
                        .setKvBytes(result.kvBytes())
                        .setExpiresMs(expiresMs)
                        .setLoad(context.load())));
        calls.advance();
    }

    private void onResultExpired() {
        if (state == State.RESULT_RETAINED) {
            cancel();
            call.finish(Frame.newBuilder().setRelease(Release.getDefaultInstance()));
        }
    }

    private void onEngineFailure(EngineException failure) {
        if (state != State.RUNNING) {
            return;
        }
        resources.recordFailure(failure);
        cancel();
        context.fail(call, failure.code(), failure.getMessage(), failure.isNotRun());
    }

    /** Ends the call and releases its resources in the sidecar and in the engine. */
    private void cancel() {
        if (state == State.ENDED) {
            return;
        }
        boolean isInEngine = state == State.RUNNING || state == State.RESULT_RETAINED;
        end();
        resources.cancel(isInEngine, calls::advance);
    }

    private void end() {
        state = State.ENDED;
        resources.cancelTimer();
        calls.remove(this);
    }

    void onEngineRestart() {
        if (state == State.QUEUED || state == State.NEW) {
            return;
        }
        boolean wasInEngine = state == State.RUNNING || state == State.RESULT_RETAINED;
        end();
        resources.onEngineRestart();
        context.fail(call, ErrorCode.BACKEND_FAILED, "The engine restarted, which ended the prefill", !wasInEngine);
    }

    void sweep() {
        boolean isWaiting = state == State.QUEUED || state == State.ANNOUNCED || state == State.START_REQUESTED;
        if (isWaiting && endIfRefused()) {
            resources.release();
        }
    }
}
