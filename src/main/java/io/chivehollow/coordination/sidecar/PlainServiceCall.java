package io.chivehollow.coordination.sidecar;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.protocol.engine.EngineCall;
import io.chivehollow.protocol.engine.EngineException;
import io.chivehollow.protocol.engine.HttpEngineClient;
import io.chivehollow.protocol.engine.PlainRequest;
import io.chivehollow.protocol.engine.PlainResponse;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainCall;
import io.chivehollow.protocol.wire.PlainResult;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jspecify.annotations.Nullable;

/**
 * One call to an ordinary service.
 *
 * <p>The listener methods are thread-safe; everything else is used on the sidecar's event loop. Invariant: a failure is
 * marked as "not run" only if no byte of this call has been sent to the service.
 */
final class PlainServiceCall implements ServerCallListener {

    private enum State {
        NEW,
        QUEUED,
        FORWARDED,
        ENDED
    }

    private static final int NO_DEADLINE_MS = 600_000;

    private final SidecarContext context;
    private final PlainCalls calls;
    private final ServerCall call;
    private final PlainCall message;
    private final AttemptRegistry.CallKey key;
    private final long deadlineMs;
    private State state = State.NEW;
    private final KeyCheck keyCheck;
    private @Nullable Lease lease;
    private @Nullable EngineCall<PlainResponse> engineCall;
    private long startedMs;
    private final long createdMs;

    PlainServiceCall(SidecarContext context, PlainCalls calls, ServerCall call, PlainCall message) {
        this.context = context;
        this.calls = calls;
        this.call = call;
        this.message = message;
        this.key = new AttemptRegistry.CallKey(message.getTeam(), message.getIdempotencyKey());
        this.keyCheck = new KeyCheck(context.admission(), message.getKeyId());
        int remainingMs = message.getDeadlineMs() == 0 ? NO_DEADLINE_MS : message.getDeadlineMs();
        this.createdMs = context.nowMs();
        this.deadlineMs = createdMs + remainingMs;
    }

    void begin() {
        if (!acceptAttempt()) {
            state = State.ENDED;
            return;
        }
        if (context.refuseIfUnavailable(call, !message.getTeam().isEmpty())) {
            endAttemptNotRun();
            return;
        }
        if (calls.queuedCount() >= PlainCalls.MAX_QUEUED) {
            endNotRun(ErrorCode.OVERLOADED, "The sidecar's queue of calls is full");
            return;
        }
        state = State.QUEUED;
        calls.enqueue(this, message.getTeam());
    }

    private boolean acceptAttempt() {
        if (message.getIdempotent() || !context.isEnabled(SidecarSafeguard.AT_MOST_ONCE)) {
            return true;
        }
        String refusal = message.getIdempotencyKey().isEmpty()
                ? "A non-idempotent call must have an idempotency key, but has none"
                : calls.attempts()
                        .tryAccept(key, message.getRecordIndex(), message.getAttempt())
                        .orElse(null);
        if (refusal == null) {
            return true;
        }
        // This attempt is not forwarded, but an earlier one of the same call may have been.
        context.fail(call, ErrorCode.OUTCOME_UNKNOWN, refusal, false);
        return false;
    }

    /** Sends the call to the service unless it is refused; the caller has checked that a slot is free. */
    void forward() {
        if (state != State.QUEUED || endIfRefused()) {
            return;
        }
        lease = context.capacity()
                .tryStartWithoutBlocks(context.newEngineId(message.getRequestId()))
                .orElse(null);
        state = State.FORWARDED;
        startedMs = context.nowMs();
        context.metrics()
                .recordQueueWait(
                        ReleasedAdmission.teamOf(message.getTeam()), RequestClass.PLAIN, startedMs - createdMs);
        EngineCall<PlainResponse> running = context.engine()
                .callPlain(new PlainRequest(
                        message.getMethod(),
                        message.getPath(),
                        PlainHeaders.requestHeaders(message),
                        message.getBody().toByteArray()));
        engineCall = running;
        running.result()
                .whenComplete((response, failure) -> context.run(() -> {
                    if (failure == null) {
                        onResponse(response);
                    } else {
                        onFailure(HttpEngineClient.failureOf(failure));
                    }
                }));
    }

    /** Ends the call if it may no longer be forwarded, and returns whether it did. */
    private boolean endIfRefused() {
        if (context.nowMs() >= deadlineMs) {
            endNotRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline of the call passed while it was queued");
            return true;
        }
        if (keyCheck.isWithdrawn()) {
            endNotRun(ErrorCode.KEY_WITHDRAWN, "The API key was withdrawn while the call was queued");
            return true;
        }
        ReleasedAdmission.Refusal refusal =
                context.admission().refusal(!message.getTeam().isEmpty()).orElse(null);
        if (refusal != null) {
            endNotRun(refusal.code(), refusal.message());
            return true;
        }
        return false;
    }

    private void endNotRun(ErrorCode code, String text) {
        endAttemptNotRun();
        context.fail(call, code, text, true);
    }

    private void endAttemptNotRun() {
        state = State.ENDED;
        calls.remove(this);
        if (!message.getIdempotent()) {
            calls.attempts().onNotRun(key);
        }
    }

    private void onResponse(PlainResponse response) {
        context.capacity().onSuccess(startedMs, context.nowMs() - startedMs, 0);
        finish();
        call.finish(Frame.newBuilder()
                .setPlainResult(PlainResult.newBuilder()
                        .setStatus(response.status())
                        .addAllHeaders(PlainHeaders.responseHeaders(response.headers()))
                        .setBody(ByteString.copyFrom(response.body()))
                        .setLoad(context.load())));
        calls.advance();
    }

    private void onFailure(EngineException failure) {
        if (failure.isNotRun() && !message.getIdempotent()) {
            calls.attempts().onNotRun(key);
        }
        if (failure.code() == ErrorCode.DEADLINE_EXCEEDED) {
            context.capacity().onFailure();
        }
        finish();
        context.fail(call, failure.code(), failure.getMessage(), failure.isNotRun());
        calls.advance();
    }

    private void finish() {
        state = State.ENDED;
        calls.remove(this);
        if (lease != null) {
            context.capacity().release(lease);
        }
    }

    @Override
    public void onCancel() {
        context.run(() -> {
            if (state == State.QUEUED) {
                endAttemptNotRun();
            } else if (state == State.FORWARDED && message.getIdempotent() && engineCall != null) {
                engineCall.cancel();
            }
            // A forwarded non-idempotent call continues, because cancelling it would not undo its effects.
        });
    }

    void sweep() {
        if (state == State.QUEUED) {
            endIfRefused();
        }
    }
}
