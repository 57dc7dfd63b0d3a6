package io.chivehollow.coordination.gateway;

import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.config.ApiKeys.CheckedKey;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.metrics.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * The attributes of a request apart from its content.
 *
 * <p>Thread-safe; immutable apart from the cancellation. Contains the id of the API key, never the key.
 *
 * @param id id of the request
 * @param key the caller's key, absent on open routes
 * @param requestClass class of the request, which selects its queue timeout and its metrics
 * @param startNanos monotonic time of the arrival
 * @param deadlineNanos monotonic time at which the request is abandoned
 * @param cancellation triggered when the caller disconnects
 */
record RequestContext(
        RequestId id,
        @Nullable CheckedKey key,
        RequestClass requestClass,
        long startNanos,
        long deadlineNanos,
        Cancellation cancellation) {

    TeamId team() {
        return key == null ? GatewayMetrics.NO_TEAM : key.team();
    }

    /** Returns the team's name for protocol messages, empty on open routes. */
    String teamName() {
        return key == null ? "" : key.team().value();
    }

    String keyId() {
        return key == null ? "" : key.keyId();
    }

    int remainingMs(Clock clock) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanoTime());
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, remaining));
    }

    long elapsedMs(Clock clock) {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
    }
}
