package io.chivehollow.runtime;

import java.math.RoundingMode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import com.google.common.math.LongMath;
import io.chivehollow.base.Clock;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.budget.BudgetBorrower;
import io.chivehollow.coordination.budget.OfflineAllowance;
import io.chivehollow.coordination.budget.TeamBudget;
import io.chivehollow.coordination.gateway.TokenBudget;

/**
 * Admits requests against the token budgets that this process has borrowed.
 *
 * <p>While the lender is unreachable, a request is admitted if the offline allowance of its team has the tokens.
 *
 * <p>Thread-safe.
 */
final class BorrowedBudget implements TokenBudget {

    private static final long MS_PER_S = 1_000;

    /**
     * The lender responds to a report every 0.5 s; after two reports without a response it counts as unreachable.
     */
    private static final long LENDER_TIMEOUT_NANOS = 1_200_000_000L;

    private final OfflineAllowance allowance;
    private final Clock clock;
    private final BudgetBorrower borrower;
    private final Function<TeamId, Optional<TeamBudget>> budgets;

    BorrowedBudget(
            BudgetBorrower borrower,
            Function<TeamId, Optional<TeamBudget>> budgets,
            OfflineAllowance allowance,
            Clock clock) {
        this.allowance = allowance;
        this.clock = clock;
        borrower.setBorrowerCountListener(allowance::onLenderResponse);
        this.borrower = borrower;
        this.budgets = budgets;
    }

    @Override
    public CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs) {
        long startNanos = clock.nanoTime();
        boolean isUnreachable = !allowance.hasResponseSince(startNanos - LENDER_TIMEOUT_NANOS);
        if (isUnreachable && allowance.tryAcquire(team, tokens)) {
            return CompletableFuture.completedFuture(actualTokens -> {});
        }
        var chargeFuture = borrower.reserve(team, tokens, waitMs);
        CompletableFuture<Reservation> reservation = chargeFuture.handle((charge, failure) ->
                charge == null ? admitWithoutLender(team, tokens, startNanos, failure) : charge::settle);
        reservation.whenComplete((admitted, failure) -> {
            if (reservation.isCancelled()) {
                chargeFuture.cancel(false);
            }
        });
        return reservation;
    }

    /** Returns the approximate number of processes that share the budgets and the rates of cold backend servers. */
    int processCount() {
        return allowance.borrowerCount();
    }

    /**
     * Admits a request from the offline allowance if the lender has not responded since {@code startNanos}, because the
     * missing loan then does not show that the team exceeds its rate. Throws the failure if the lender has responded,
     * if the allowance is used up, or if the request was cancelled.
     */
    private Reservation admitWithoutLender(TeamId team, long tokens, long startNanos, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean isOverRate = cause instanceof CancellationException || allowance.hasResponseSince(startNanos);
        if (!isOverRate && allowance.tryAcquire(team, tokens)) {
            return actualTokens -> {};
        }
        throw new CompletionException(cause);
    }

    /**
     * Returns the time in milliseconds in which an empty token bucket fills up to the tokens, or empty if the team has
     * no budget or its burst is smaller. An empty bucket is assumed because loans do not report its fill level.
     */
    @Override
    public OptionalLong waitMs(TeamId team, long tokens) {
        return budgets.apply(team)
                .filter(budget -> tokens <= budget.burstTokens())
                .map(budget -> OptionalLong.of(LongMath.divide(
                        LongMath.saturatedMultiply(tokens, MS_PER_S),
                        budget.rateTokensPerSecond(),
                        RoundingMode.CEILING)))
                .orElse(OptionalLong.empty());
    }
}
