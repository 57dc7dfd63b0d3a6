package io.chivehollow.coordination.gateway;

import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.protocol.wire.Priority;

/**
 * The time by which an interactive request should receive its first token.
 *
 * <p>Not thread-safe; the flow calls it under its lock. Once the target is missed, or no backend server can meet it,
 * the request keeps batch priority until it ends, so that it does not delay requests that can still meet their target.
 */
final class FirstTokenTarget {

    private final Clock clock;
    private final boolean isBatch;
    private final boolean hasTarget;
    private final long dueNanos;
    private boolean isMarkedMissed;

    /**
     * Creates the target of a request.
     *
     * @param targetMs time in milliseconds from the arrival to the first token; 0 for no target
     */
    FirstTokenTarget(Clock clock, RequestContext context, int targetMs) {
        this.clock = clock;
        this.isBatch = context.requestClass() == RequestClass.BATCH;
        this.hasTarget = targetMs > 0 && !isBatch;
        this.dueNanos = context.startNanos() + TimeUnit.MILLISECONDS.toNanos(targetMs);
    }

    /** Returns the time left in milliseconds; 0 if there is no target or it is missed. */
    int remainingMs() {
        if (!hasTarget || isMarkedMissed) {
            return 0;
        }
        return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(dueNanos - clock.nanoTime()));
    }

    boolean isMissed() {
        return hasTarget && remainingMs() == 0;
    }

    /** Marks the target as missed, because no backend server can meet it. */
    void markMissed() {
        isMarkedMissed = true;
    }

    Priority priority() {
        return isBatch || isMissed() ? Priority.BATCH : Priority.INTERACTIVE;
    }
}
