package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.protocol.wire.BeginCall;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.CallResult;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.protocol.wire.PlainResult;
import org.jspecify.annotations.Nullable;

/**
 * Runs a non-idempotent call at most once, by means of an idempotency record in the replicated log.
 *
 * <p>Thread-safe. Invariants: the call is sent only after the record was created by this call's own command; the
 * listener is notified only after an attempt to record the outcome; "not run" is recorded and reported only if the call
 * was not sent, or if every sidecar that received it reports that it did not pass it on.
 */
final class AtMostOnceCall implements PlainListener {

    /** Largest response in bytes that is stored for retries; larger ones would make the replicated log too large. */
    static final int MAX_RECORDED_BYTES = 1 << 20;

    private final GatewayCore core;
    private final RequestContext context;
    private final PlainRequest request;
    private final String idempotencyKey;
    private final CandidateQueue candidates;
    private final PlainListener listener;
    private final BeginCall.Builder beginCall;
    private @Nullable CallRecord record;
    private boolean isSent;
    private boolean isCancelled;

    AtMostOnceCall(
            GatewayCore core,
            RequestContext context,
            PlainRequest request,
            String idempotencyKey,
            CandidateQueue candidates,
            PlainListener listener) {
        this.core = core;
        this.context = context;
        this.request = request;
        this.idempotencyKey = idempotencyKey;
        this.candidates = candidates;
        this.listener = listener;
        this.beginCall = BeginCall.newBuilder()
                .setTeam(context.teamName())
                .setIdempotencyKey(idempotencyKey)
                .setRoute(request.route())
                .setBodySha256(request.bodySha256())
                .setCommandId(context.id().value());
    }

    void start() {
        core.callSession().begin(beginCall).whenComplete(this::onBegun);
    }

    /** Cancels the call if it has not been sent yet; returns whether it was cancelled. */
    synchronized boolean cancelUnlessSent() {
        if (isSent) {
            return false;
        }
        isCancelled = true;
        return true;
    }

    synchronized boolean isSent() {
        return isSent;
    }

    private void onBegun(@Nullable CommandResult result, @Nullable Throwable failure) {
        if (result == null) {
            // The record may or may not exist, but the call has not been sent.
            ChivehollowException cause = Failures.unwrap(
                    failure == null ? new IllegalStateException("BeginCall completed without a result") : failure);
            ErrorCode code = cause.code().httpStatus() == 503 ? cause.code() : ErrorCode.NO_QUORUM;
            listener.onFailed(Failures.of(code, "The idempotency record of the call could not be committed", true));
            return;
        }
        if (!result.getErrorCode().isEmpty()) {
            ErrorCode code = ErrorCode.fromWireName(result.getErrorCode());
            String message = String.join("; ", result.getFaultsList());
            listener.onFailed(Failures.of(code == ErrorCode.FENCED ? ErrorCode.NO_QUORUM : code, message, true));
            return;
        }
        CallResult call = result.getCall();
        if (call.getBegun()) {
            send(call.getRecord());
            return;
        }
        respondToRetry(call.getRecord());
    }

    private void respondToRetry(CallRecord existing) {
        switch (existing.getOutcome()) {
            case COMPLETED -> listener.onResult(existing.getResult());
            case OPEN -> listener.onFailed(Failures.of(
                    ErrorCode.CALL_IN_PROGRESS, "A call with this idempotency key is still in progress", false));
            default -> listener.onFailed(Failures.of(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "It is unknown whether the call with this idempotency key has run",
                    false));
        }
    }

    private void send(CallRecord begun) {
        record = begun;
        ChivehollowException refusal = checkBeforeSend();
        if (refusal != null) {
            finish(CallOutcome.NOT_RUN, null, () -> listener.onFailed(refusal));
            return;
        }
        new PlainDispatch(
                        core,
                        context,
                        request.toCall(context)
                                .setIdempotencyKey(idempotencyKey)
                                .setRecordIndex(begun.getBegunIndex())
                                .setAttempt(begun.getAttempt())
                                .setIdempotent(false),
                        candidates,
                        this)
                .start();
    }

    /**
     * Performs the last check before the call is sent. Returns the error if the call must not be sent; otherwise marks
     * the call as sent and returns null.
     */
    private synchronized @Nullable ChivehollowException checkBeforeSend() {
        if (isCancelled) {
            return Failures.of(ErrorCode.CANCELLED, "The call was cancelled before it was sent", true);
        }
        ApiKeys.CheckedKey key = context.key();
        try {
            if (key != null) {
                ApiKeys.recheck(core.config(), key);
            }
        } catch (ChivehollowException e) {
            return e;
        }
        isSent = true;
        return null;
    }

    @Override
    public void onResult(PlainResult result) {
        PlainResult recorded = result.toBuilder().clearLoad().build();
        if (recorded.getSerializedSize() > MAX_RECORDED_BYTES) {
            finish(CallOutcome.UNKNOWN, null, () -> listener.onResult(result));
            return;
        }
        finish(CallOutcome.COMPLETED, recorded, () -> listener.onResult(result));
    }

    @Override
    public void onFailed(ChivehollowException failure) {
        if (failure.isNotRun()) {
            finish(CallOutcome.NOT_RUN, null, () -> listener.onFailed(failure));
            return;
        }
        ChivehollowException unknown = Failures.of(
                ErrorCode.OUTCOME_UNKNOWN,
                "The call was sent, but it is unknown whether it has run: "
                        + failure.code().wireName(),
                false);
        finish(CallOutcome.UNKNOWN, null, () -> listener.onFailed(unknown));
    }

    /** Records the outcome and then notifies the listener, even if the outcome could not be recorded. */
    private void finish(CallOutcome outcome, @Nullable PlainResult result, Runnable notifyListener) {
        CallRecord begun = record;
        if (begun == null) {
            throw new IllegalStateException("the call has no idempotency record to finish");
        }
        FinishCall.Builder finish = FinishCall.newBuilder()
                .setTeam(begun.getTeam())
                .setIdempotencyKey(begun.getIdempotencyKey())
                .setAttempt(begun.getAttempt())
                .setOutcome(outcome);
        if (result != null) {
            finish.setResult(result);
        }
        core.callSession().finish(finish).whenComplete((done, failure) -> notifyListener.run());
    }
}
