package io.chivehollow.coordination.budget;

/**
 * Tokens that were charged to a team at the admission of a request.
 *
 * <p>Implementations are thread-safe.
 */
public interface Reservation {

    /** Returns the number of charged tokens. */
    long tokens();

    /** Ends the reservation and refunds unused tokens as far as the team's limit allows; only the first call counts. */
    void settle(long actualTokens);
}
