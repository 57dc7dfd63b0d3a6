package io.chivehollow.coordination.forwarding.flow;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.coordination.forwarding.adapter.UnreadableLoad;
import io.chivehollow.coordination.forwarding.backend.ServerChanges;
import io.chivehollow.coordination.forwarding.speed.SpeedListener;

/**
 * Records the outcomes and durations of forwarded requests.
 *
 * <p>Thread-safe.
 */
public final class ForwardMetrics implements ServerChanges, SpeedListener {

    private static final String PREFIX = "forwarding.";
    private static final double PERCENT = 100;

    private final MetricRegistry registry;

    private ForwardMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns metrics that are registered in the given registry. */
    public static ForwardMetrics create(MetricRegistry registry) {
        return new ForwardMetrics(registry);
    }

    void onOutcome(String team, String outcome, long totalNanos) {
        registry.counter(PREFIX + "requests." + outcome).inc();
        registry.timer(PREFIX + "time." + team).update(totalNanos, TimeUnit.NANOSECONDS);
    }

    void onFirstByte(String team, long nanos) {
        registry.timer(PREFIX + "first_byte." + team).update(nanos, TimeUnit.NANOSECONDS);
    }

    void onServerCrash() {
        registry.counter(PREFIX + "server_crashes").inc();
    }

    @Override
    public void onLeaving() {
        registry.counter(PREFIX + "servers_leaving").inc();
    }

    @Override
    public void onHeld() {
        registry.counter(PREFIX + "servers_held").inc();
    }

    @Override
    public void onLoadUnreadable(UnreadableLoad.Reason reason) {
        registry.counter(PREFIX + "load_unreadable." + reason.metricName()).inc();
    }

    @Override
    public void onSlowness(String service, double slowness) {
        registry.histogram(PREFIX + "server_slowness." + service).update(Math.round(slowness * PERCENT));
    }

    @Override
    public void onChoice(String service, boolean isReportCurrent) {
        String use = isReportCurrent ? "used" : "expired";
        registry.counter(PREFIX + "machine_reports." + use + "." + service).inc();
    }

    void onRetry(String reason) {
        registry.counter(PREFIX + "repeats." + reason).inc();
    }
}
