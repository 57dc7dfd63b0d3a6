package io.chivehollow.coordination.forwarding.flow;

import java.util.function.IntSupplier;

/**
 * Limits that hold for all processes together.
 *
 * <p>Immutable; thread-safe if the supplier is.
 *
 * @param retries limits of the retries at the servers of one service
 * @param processCount number of processes that share the limits
 */
public record SharedLimits(RetryLimits retries, IntSupplier processCount) {}
