package io.chivehollow.coordination.gateway;

import java.util.List;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.gateway.TokenBudget.Reservation;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.protocol.wire.PlainResult;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.Route;
import org.jspecify.annotations.Nullable;

/**
 * Processes one plain call: reserves token budget and sends the call, with an idempotency record if the call is not
 * idempotent.
 *
 * <p>Thread-safe. Invariants: the listener is notified once, unless the caller has disconnected; a non-idempotent call
 * that may have been sent is neither cancelled nor retried.
 */
final class PlainFlow implements OpenRequest, PlainListener {

    /**
     * Tokens charged for a plain call, which has no tokens itself, so that the team's rate also limits plain calls.
     */
    static final long CALL_TOKENS = 1;

    private final GatewayCore core;
    private final RequestContext context;
    private final Route route;
    private final PlainRequest request;
    private final @Nullable String idempotencyKey;
    private final PlainListener responseListener;
    private final FlowLifecycle lifecycle;
    private @Nullable PlainDispatch dispatch;
    private @Nullable AtMostOnceCall atMostOnce;
    private boolean hasResponded;

    PlainFlow(
            GatewayCore core,
            RequestContext context,
            Route route,
            PlainRequest request,
            @Nullable String idempotencyKey,
            PlainListener responseListener) {
        this.core = core;
        this.context = context;
        this.route = route;
        this.request = request;
        this.idempotencyKey = idempotencyKey;
        this.responseListener = responseListener;
        this.lifecycle = new FlowLifecycle(core, this);
    }

    @Override
    public RequestContext context() {
        return context;
    }

    void start() {
        if (!lifecycle.register(this::onDisconnect, this::onDeadline)) {
            return;
        }
        if (context.key() == null) {
            run(null);
            return;
        }
        lifecycle.reserve(CALL_TOKENS, (reservation, failure) -> {
            if (reservation == null) {
                onFailed(Failures.unwrap(failure));
                return;
            }
            run(reservation);
        });
    }

    private synchronized void run(@Nullable Reservation reservation) {
        if (!lifecycle.attachBudget(reservation)) {
            return;
        }
        try {
            recheckKey();
            CandidateQueue candidates = newCandidateQueue();
            if (idempotencyKey == null || !core.isEnabled(GatewaySafeguard.AT_MOST_ONCE)) {
                dispatch =
                        new PlainDispatch(core, context, request.toCall(context).setIdempotent(true), candidates, this);
                dispatch.start();
                return;
            }
            atMostOnce = new AtMostOnceCall(core, context, request, idempotencyKey, candidates, this);
            atMostOnce.start();
        } catch (ChivehollowException e) {
            onFailed(e);
        }
    }

    private void recheckKey() {
        ApiKeys.CheckedKey key = context.key();
        if (key != null) {
            ApiKeys.recheck(core.config(), key);
        }
    }

    private CandidateQueue newCandidateQueue() {
        Configuration configuration = core.configuration();
        PlacementRequest placement = new PlacementRequest(PlacementRequest.ServerRole.PLAIN, 0, 0);
        // A plain call has a single round, so this round must be able to reach all servers outside the subset.
        CandidateQueue queue = new CandidateQueue(core, Integer.MAX_VALUE, placement, List.of(), target -> true);
        queue.startRound(configuration, pools(configuration), null);
        return queue;
    }

    private List<Pool> pools(Configuration configuration) {
        return configuration.pool(route.getPool()).map(List::of).orElse(List.of());
    }

    @Override
    public synchronized void onResult(PlainResult result) {
        if (lifecycle.isEnded()) {
            return;
        }
        core.metrics().countCompleted(context.team(), context.requestClass());
        RequestLog.completed(context, context.elapsedMs(core.clock()));
        lifecycle.close(CALL_TOKENS);
        if (!hasResponded) {
            hasResponded = true;
            responseListener.onResult(result);
        }
    }

    @Override
    public synchronized void onFailed(ChivehollowException failure) {
        if (lifecycle.isEnded()) {
            return;
        }
        lifecycle.close(failure.isNotRun() ? 0 : CALL_TOKENS);
        respondWithFailure(failure);
    }

    private void respondWithFailure(ChivehollowException failure) {
        if (hasResponded) {
            return;
        }
        hasResponded = true;
        core.metrics().countFailed(context.team(), failure.code(), failure.isNotRun());
        RequestLog.failed(context, failure, context.elapsedMs(core.clock()));
        List<Pool> pools = core.config().current().map(this::pools).orElse(List.of());
        responseListener.onFailed(RetryAfter.addTo(failure, core, context, CALL_TOKENS, pools));
    }

    private synchronized void onDisconnect() {
        if (lifecycle.isEnded()) {
            return;
        }
        hasResponded = true;
        core.metrics().countFailed(context.team(), ErrorCode.CANCELLED, !mayHaveRun());
        cancelUnlessSent();
    }

    @Override
    public synchronized void revoke(ChivehollowException reason) {
        endUnlessSent(reason.code(), String.valueOf(reason.getMessage()));
    }

    @Override
    public synchronized void abandon(ErrorCode code, String message) {
        endUnlessSent(code, message);
        if (!lifecycle.isEnded()) {
            respondWithFailure(Failures.of(ErrorCode.OUTCOME_UNKNOWN, message, false));
        }
    }

    private synchronized void onDeadline() {
        endUnlessSent(ErrorCode.DEADLINE_EXCEEDED, "The call was not completed before its deadline");
        if (!lifecycle.isEnded()) {
            respondWithFailure(Failures.of(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "The call was sent, but its outcome was not received before the deadline",
                    false));
        }
    }

    /** Ends the call with an error, unless it is a non-idempotent call that may have been sent. */
    private void endUnlessSent(ErrorCode code, String message) {
        if (lifecycle.isEnded()) {
            return;
        }
        boolean notRun = !mayHaveRun();
        if (cancelUnlessSent()) {
            respondWithFailure(Failures.of(code, message, notRun));
        }
    }

    /** Cancels the call, unless it is non-idempotent and may have been sent; returns whether it was cancelled. */
    private boolean cancelUnlessSent() {
        if (atMostOnce != null && !atMostOnce.cancelUnlessSent()) {
            return false;
        }
        boolean notRun = !mayHaveRun();
        if (dispatch != null) {
            dispatch.cancel();
        }
        lifecycle.close(notRun ? 0 : CALL_TOKENS);
        return true;
    }

    private boolean mayHaveRun() {
        return dispatch != null && dispatch.mayHaveRun() || atMostOnce != null && atMostOnce.isSent();
    }
}
