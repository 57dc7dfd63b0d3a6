package io.chivehollow.coordination.forwarding.flow;

import java.util.function.IntSupplier;

import io.chivehollow.coordination.crash.CrashLedger;

/**
 * Limits that hold for all processes together.
 *
 * <p>Not modified after its creation; thread-safe if the supplier is.
 *
 * @param retries limits of the retries at the servers of one service
 * @param processCount number of processes that share the limits
 * @param crashes crashes of backend servers, and the prompts that are refused because of them
 */
public record SharedLimits(RetryLimits retries, IntSupplier processCount, CrashLedger crashes) {}
