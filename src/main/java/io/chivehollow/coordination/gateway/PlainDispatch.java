package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainCall;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.TransportException;
import org.jspecify.annotations.Nullable;

/**
 * Sends a plain call to its candidates, one after the other.
 *
 * <p>Thread-safe. Invariants: at most one call is open; the next candidate is tried only if the previous one certainly
 * has not run the call, or if the call is idempotent and the retry budget allows it; the listener is notified once,
 * without holding the lock.
 */
final class PlainDispatch {

    private final GatewayCore core;
    private final RequestContext context;
    private final PlainCall.Builder call;
    private final CandidateQueue candidates;
    private final PlainListener listener;
    private @Nullable SidecarCall openCall;
    private boolean mayHaveRun;
    private boolean isEnded;

    PlainDispatch(
            GatewayCore core,
            RequestContext context,
            PlainCall.Builder call,
            CandidateQueue candidates,
            PlainListener listener) {
        this.core = core;
        this.context = context;
        this.call = call;
        this.candidates = candidates;
        this.listener = listener;
    }

    void start() {
        sendNext(Failures.of(ErrorCode.NO_BACKEND_SERVER, "No backend server is in service for this route", true));
    }

    /** Cancels the call, also at the sidecar; the listener is not notified any more. */
    synchronized void cancel() {
        isEnded = true;
        if (openCall != null) {
            openCall.cancel();
            openCall = null;
        }
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun || openCall != null;
    }

    private void sendNext(ChivehollowException lastFailure) {
        SidecarCall next = prepareNext(lastFailure);
        if (next != null) {
            next.open();
            return;
        }
        fail(lastFailure);
    }

    /** Returns the call to the next candidate, or null if no further candidate may be tried. */
    private synchronized @Nullable SidecarCall prepareNext(ChivehollowException lastFailure) {
        int remainingMs = context.remainingMs(core.clock());
        if (isEnded || remainingMs == 0 || Failures.isCausedByRequest(lastFailure)) {
            return null;
        }
        Target target = candidates.poll();
        if (target == null) {
            return null;
        }
        Frame.Builder frame = Frame.newBuilder().setPlainCall(call.clone().setDeadlineMs(remainingMs));
        openCall = SidecarCall.create(core.connections(), target, frame, new CandidateListener(target));
        return openCall;
    }

    private void onResponse(Target target, Frame frame) {
        if (!frame.hasPlainResult()) {
            onFailure(
                    target,
                    TransportException.mayHaveRun(
                            ErrorCode.BACKEND_FAILED,
                            "Expected PLAIN_RESULT from the sidecar, but got " + frame.getBodyCase()));
            return;
        }
        if (frame.getPlainResult().hasLoad()) {
            core.servers().onLoad(target.id(), frame.getPlainResult().getLoad());
        }
        if (endOnce()) {
            listener.onResult(frame.getPlainResult());
        }
    }

    private void onFailure(Target target, TransportException failure) {
        if (failure.load() != null) {
            core.servers().onLoad(target.id(), failure.load());
        }
        if (mayTryNext(failure)) {
            sendNext(failure);
            return;
        }
        fail(failure);
    }

    private synchronized boolean mayTryNext(TransportException failure) {
        openCall = null;
        if (failure.isNotRun()) {
            return true;
        }
        mayHaveRun = true;
        boolean mayRetry = call.getIdempotent()
                && !isEnded
                && !candidates.isEmpty()
                && core.retryBudget().tryAcquire();
        if (mayRetry) {
            core.metrics().countRetry();
        }
        return mayRetry;
    }

    private void fail(ChivehollowException failure) {
        boolean notRun = !mayHaveRun();
        if (endOnce()) {
            ChivehollowException callerError = Failures.ofBackend(failure);
            listener.onFailed(Failures.of(callerError.code(), String.valueOf(callerError.getMessage()), notRun));
        }
    }

    private synchronized boolean endOnce() {
        boolean isFirst = !isEnded;
        isEnded = true;
        openCall = null;
        return isFirst;
    }

    private final class CandidateListener implements CallListener {

        private final Target target;

        CandidateListener(Target target) {
            this.target = target;
        }

        @Override
        public void onFrame(Frame frame) {
            onResponse(target, frame);
        }

        @Override
        public void onFailure(TransportException failure) {
            PlainDispatch.this.onFailure(target, failure);
        }
    }
}
