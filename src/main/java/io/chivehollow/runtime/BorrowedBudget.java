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
 * Admits a gateway's requests against borrowed budget.
 *
 * <p>Thread-safe.
 */
final class BorrowedBudget implements TokenBudget {

    private static final long MS_PER_S = 1_000;

    /** Reports are answered each half second; two without an answer mean that the lender is unreachable. */
    private static final long LENDER_SILENCE_NANOS = 1_200_000_000L;

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
        borrower.onAnswer(allowance::onAnswer);
        this.borrower = borrower;
        this.budgets = budgets;
    }

    @Override
    public CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs) {
        long startNanos = clock.nanoTime();
        boolean isUnreachable = !allowance.hasAnswerSince(startNanos - LENDER_SILENCE_NANOS);
        if (isUnreachable && allowance.take(team, tokens)) {
            return CompletableFuture.completedFuture(actualTokens -> {});
        }
        var charge = borrower.reserve(team, tokens, waitMs);
        CompletableFuture<Reservation> reservation = charge.handle(
                (taken, failure) -> taken == null ? withoutLender(team, tokens, startNanos, failure) : taken::settle);
        reservation.whenComplete((taken, failure) -> {
            if (reservation.isCancelled()) {
                charge.cancel(false);
            }
        });
        return reservation;
    }

    /** Returns about how many processes share budgets and the rates of cold backend servers. */
    int processes() {
        return allowance.borrowers();
    }

    /** Admits a request that got no loan because the lender has not answered; it was not over the rate then. */
    private Reservation withoutLender(TeamId team, long tokens, long startNanos, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean isOverRate = cause instanceof CancellationException || allowance.hasAnswerSince(startNanos);
        if (!isOverRate && allowance.take(team, tokens)) {
            return actualTokens -> {};
        }
        throw new CompletionException(cause);
    }

    /** Returns the time in which an empty bucket fills up to the tokens; loans do not say how full it is. */
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
