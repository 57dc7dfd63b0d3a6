package io.chivehollow.coordination.forwarding.flow;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.gateway.TokenBudget.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * The stage in which one request reserves its cost from the budget of its team.
 *
 * <p>Invariant: a granted reservation is settled exactly once, also if it arrives after the end of the request. Used on
 * the event loop of the forwarding role only.
 */
final class BudgetStage {

    /** The longest wait for the budget is the target time divided by this; late refusals leave less time to retry. */
    private static final int WAIT_DIVISOR = 8;

    /**
     * Lower bound of the longest wait for the team's budget, in milliseconds. A loan takes a round trip, sometimes a
     * commit; a report in flight adds a round trip.
     */
    private static final long MIN_WAIT_MS = 80;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final RequestTrace trace;
    private @Nullable Reservation reservation;
    private @Nullable CompletableFuture<Reservation> pending;
    private boolean isEnded;

    BudgetStage(ForwardServices services, ForwardRequest request, RequestTrace trace) {
        this.services = services;
        this.request = request;
        this.trace = trace;
    }

    /** Reserves the cost of the request; calls one of the two receivers unless the request ends first. */
    void reserve(Admission.AdmittedRequest admitted, TeamId team, Runnable onReserved, Consumer<Refusal> onRefused) {
        long cost = admitted.cost(request);
        long waitMs = Math.max(MIN_WAIT_MS, admitted.route().getTargetMs() / WAIT_DIVISOR);
        CompletableFuture<Reservation> requested = services.budget().reserve(team, cost, waitMs);
        pending = requested;
        requested.whenComplete((granted, failure) -> {
            Runnable receiver = () -> {
                pending = null;
                if (granted != null) {
                    onGranted(granted, onReserved);
                } else if (!isEnded) {
                    trace.addStep("budget: " + failure);
                    onRefused.accept(refusal(team, admitted.service(), cost));
                }
            };
            if (services.loop().inEventLoop()) {
                receiver.run();
            } else {
                services.loop().execute(receiver);
            }
        });
    }

    private void onGranted(Reservation granted, Runnable onReserved) {
        if (isEnded) {
            granted.settle(0);
        } else {
            reservation = granted;
            onReserved.run();
        }
    }

    private Refusal refusal(TeamId team, String service, long cost) {
        long costMs = services.budget().waitMs(team, cost).orElse(Refusal.OVERLOAD_RETRY_MS);
        long retryMs = services.retrySchedule().retryMs(team, service, costMs);
        return Refusal.retryAfter(ErrorCode.RATE_LIMITED, "The team exceeds its rate limit", retryMs);
    }

    /** Ends the stage; the reservation is charged with the given cost, which is 0 if the request was not run. */
    void end(long cost) {
        isEnded = true;
        if (pending != null) {
            pending.cancel(false);
        }
        if (reservation != null) {
            reservation.settle(cost);
            reservation = null;
        }
    }
}
