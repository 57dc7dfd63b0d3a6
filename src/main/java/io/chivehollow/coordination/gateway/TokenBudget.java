package io.chivehollow.coordination.gateway;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.TeamId;

/**
 * Admits requests within their team's token rate; implemented by the budget borrower.
 *
 * <p>Implementations are thread-safe.
 */
public interface TokenBudget {

    /**
     * Reserves tokens of a team's budget.
     *
     * <p>If the tokens do not become available within {@code waitMs} milliseconds, the future fails with {@code
     * RATE_LIMITED}. Cancelling the future removes the request from the queue.
     */
    CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs);

    /**
     * Returns the time in milliseconds after which the team's rate allows a request of this many tokens, provided that
     * no other request of the team is admitted earlier; empty if the rate never allows it.
     */
    OptionalLong waitMs(TeamId team, long tokens);

    /** Tokens reserved for one request. */
    @FunctionalInterface
    interface Reservation {

        /** Reports the number of tokens that the request has used; the remaining ones are refunded. */
        void settle(long actualTokens);
    }
}
