package io.chivehollow.metrics;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import io.chivehollow.base.TeamId;
import io.chivehollow.protocol.wire.Load;

/**
 * Metrics of a sidecar.
 *
 * <p>Thread-safe. The number of series is bounded by the number of teams of the configuration.
 */
public final class SidecarMetrics {

    /** Low, because a sidecar has little memory: 200 teams with 2 classes at 100 bytes per sample take 2.6 MB. */
    private static final int SAMPLES_PER_HISTOGRAM = 64;

    /** The library's default, which gives the values of the last 5 minutes the most weight. */
    private static final double DECAY_FACTOR = 0.015;

    private final MetricRegistry registry;
    private final Set<Waiting> reportedQueues = ConcurrentHashMap.newKeySet();

    private SidecarMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns metrics that are stored in the registry. */
    public static SidecarMetrics create(MetricRegistry registry) {
        return new SidecarMetrics(registry);
    }

    /** Records how long a request was queued before the backend server could accept it, in milliseconds. */
    public void queueWait(TeamId team, RequestClass requestClass, long timeMs) {
        registry.histogram(
                        MetricNames.withLabel("sidecar.queue_wait_ms", team, requestClass),
                        () -> new Histogram(new ExponentiallyDecayingReservoir(SAMPLES_PER_HISTOGRAM, DECAY_FACTOR)))
                .update(timeMs);
    }

    /**
     * Updates the gauges to the current state.
     *
     * @param load the load that is reported to gateways
     * @param isReady whether the backend server is reachable
     * @param plannedBytes bytes of the transfers that are planned on the link
     * @param linkUse time that the planned transfers take, as a fraction of the longest time allowed
     * @param queuedRequests number of queued requests per team and class, without empty queues
     */
    public void update(
            Load load, boolean isReady, long plannedBytes, double linkUse, Map<Waiting, Integer> queuedRequests) {
        set("sidecar.blocks_free", load.getFreeBlocks());
        set("sidecar.blocks_total", load.getTotalBlocks());
        set("sidecar.running", load.getRunning());
        set("sidecar.queued_work_ms", load.getQueuedMs());
        set("sidecar.ramp_limit", load.getRampLimit());
        set("sidecar.cold", load.getCold() ? 1 : 0);
        set("sidecar.leaving", load.getDraining() ? 1 : 0);
        set("sidecar.ready", isReady ? 1 : 0);
        set("sidecar.link_planned_bytes", plannedBytes);
        set("sidecar.link_use_ratio", linkUse);
        reportedQueues.addAll(queuedRequests.keySet());
        for (Waiting queue : reportedQueues) {
            set(
                    MetricNames.withLabel("sidecar.queued", queue.team(), queue.requestClass()),
                    queuedRequests.getOrDefault(queue, 0));
        }
    }

    private void set(String name, Number value) {
        SettableGauge<Number> gauge = registry.gauge(name);
        gauge.setValue(value);
    }

    /**
     * Identifies the queue of one team and request class.
     *
     * @param team the team
     * @param requestClass the request class
     */
    public record Waiting(TeamId team, RequestClass requestClass) {}
}
