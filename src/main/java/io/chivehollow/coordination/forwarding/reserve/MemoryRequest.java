package io.chivehollow.coordination.forwarding.reserve;

import java.util.function.Predicate;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * The memory that one forwarded request needs at a decode server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service service that is to run the request
 * @param tokens memory for the prompt and the output, in tokens
 * @param reservationMs time in milliseconds for which the memory is to be reserved
 * @param isLate whether the request has already missed its target, so that other requests are served first
 * @param maxWaitMs time in milliseconds after which the request is refused
 * @param isOutOfService tells whether a failure domain is out of service
 * @param urgency rank and team of the request, or null if the service does not distinguish priorities
 * @param serverTokens memory of one decode server of the service in tokens, 0 if it is not known
 */
public record MemoryRequest(
        String service,
        long tokens,
        long reservationMs,
        boolean isLate,
        long maxWaitMs,
        Predicate<FailureDomain> isOutOfService,
        @Nullable Urgency urgency,
        long serverTokens) {}
