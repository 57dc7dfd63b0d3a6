package io.chivehollow.coordination.budget;

/**
 * Identifies one run of a process that borrows budgets: the instance and the incarnation of the run.
 *
 * <p>Immutable and thread-safe.
 */
record BorrowerId(String instance, long incarnation) {}
