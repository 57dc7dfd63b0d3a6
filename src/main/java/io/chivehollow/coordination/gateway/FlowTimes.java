package io.chivehollow.coordination.gateway;

import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.protocol.openai.Usage;

/**
 * Records the latencies and token counts of one generation request as metrics.
 *
 * <p>Not thread-safe; the flow calls it under its lock.
 */
final class FlowTimes {

    private final Clock clock;
    private final GatewayMetrics metrics;
    private final RequestContext context;
    private boolean hasFirstToken;
    private long lastTokenNanos;

    FlowTimes(Clock clock, GatewayMetrics metrics, RequestContext context) {
        this.clock = clock;
        this.metrics = metrics;
        this.context = context;
    }

    void onDequeued() {
        metrics.recordQueueWait(context.team(), context.requestClass(), context.elapsedMs(clock));
    }

    /** Records the arrival of a frame; the time since the previous frame is divided by the number of its tokens. */
    void onTokens(int count) {
        long now = clock.nanoTime();
        if (!hasFirstToken) {
            hasFirstToken = true;
            metrics.recordTimeToFirstToken(context.team(), context.requestClass(), context.elapsedMs(clock));
        } else {
            long micros = TimeUnit.NANOSECONDS.toMicros(now - lastTokenNanos) / Math.max(1, count);
            metrics.recordTimeBetweenTokens(context.team(), context.requestClass(), micros);
        }
        lastTokenNanos = now;
    }

    void onDone(Usage usage) {
        metrics.recordTokens(context.team(), context.requestClass(), usage.promptTokens(), usage.outputTokens());
        metrics.countCompleted(context.team(), context.requestClass());
    }
}
