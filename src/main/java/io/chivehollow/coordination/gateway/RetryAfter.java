package io.chivehollow.coordination.gateway;

import java.util.List;
import java.util.OptionalLong;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.Pool;

/**
 * Adds to an error the time after which a retry of the request may succeed.
 *
 * <p>Stateless and thread-safe. No time is added if there is no basis for one: for a request above the burst, which
 * never succeeds, and for errors that are not caused by the queues of backend servers.
 */
final class RetryAfter {

    private RetryAfter() {}

    /**
     * Returns the failure with the retry time, or the failure itself if no time can be given.
     *
     * @param tokens number of tokens that the request is charged
     * @param pools pools that could have processed the request
     */
    static ChivehollowException addTo(
            ChivehollowException failure, GatewayCore core, RequestContext context, long tokens, List<Pool> pools) {
        OptionalLong waitMs =
                switch (failure.code()) {
                    case RATE_LIMITED -> core.budget().waitMs(context.team(), tokens);
                    case OVERLOADED, COLD, DRAINING, DOMAIN_OUT, NO_BACKEND_SERVER -> core.config()
                            .current()
                            .map(configuration -> core.servers().shortestReportedWaitMs(configuration, pools))
                            .orElse(OptionalLong.empty());
                    default -> OptionalLong.empty();
                };
        return waitMs.isPresent() ? withRetryAfter(failure, waitMs.getAsLong()) : failure;
    }

    private static CoordinationException withRetryAfter(ChivehollowException failure, long waitMs) {
        ErrorCode code = failure.code();
        return Failures.of(code, String.valueOf(failure.getMessage()), failure.isNotRun())
                .withRetryAfterMs(waitMs);
    }
}
