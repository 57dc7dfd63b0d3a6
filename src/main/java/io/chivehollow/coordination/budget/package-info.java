/**
 * Distributed token-bucket rate limits of teams.
 *
 * <p>The lender on the replica leader has the token bucket of each team. The borrower in each gateway borrows tokens
 * and charges requests against them without a round trip. A loan is a lease on part of a team's token budget: unless it
 * is renewed, it expires after a fixed time, and the lender counts it as spent.
 *
 * <p>Both sides perform no I/O: time is passed in, and messages are returned or taken as values.
 */
@NullMarked
package io.chivehollow.coordination.budget;

import org.jspecify.annotations.NullMarked;
