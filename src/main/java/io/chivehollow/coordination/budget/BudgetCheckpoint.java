package io.chivehollow.coordination.budget;

import io.chivehollow.protocol.wire.SavedBudget;

/**
 * The last committed checkpoint of a team's budget, from which a new leader continues.
 *
 * <p>Immutable and thread-safe.
 *
 * @param budget the committed budget
 * @param seenNanos a time on this replica's monotonic clock, in ns, at which the checkpoint existed; the refill of the
 *     budget is computed from then on
 */
public record BudgetCheckpoint(SavedBudget budget, long seenNanos) {}
