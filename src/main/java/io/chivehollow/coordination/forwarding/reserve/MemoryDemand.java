package io.chivehollow.coordination.forwarding.reserve;

import java.util.function.Predicate;

import io.chivehollow.base.FailureDomain;

/**
 * What a request needs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service service that is to run the request
 * @param tokens memory for its prompt and its output
 * @param isLate whether the request has missed its target already, so that others go first
 * @param maxWaitMs time after which the request is refused
 * @param isOut whether a failure domain is out of service
 */
public record MemoryDemand(
        String service, long tokens, boolean isLate, long maxWaitMs, Predicate<FailureDomain> isOut) {}
