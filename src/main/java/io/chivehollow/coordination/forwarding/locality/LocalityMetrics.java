package io.chivehollow.coordination.forwarding.locality;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;

/**
 * Records which requests leave the failure domain, why, and how many bytes.
 *
 * <p>Used on the event loop of the forwarding role only; the registry is thread-safe.
 */
final class LocalityMetrics {

    private static final String PREFIX = "forwarding.locality.";

    /** Weight of one request in the share that is reported. */
    private static final double SHARE_WEIGHT = 0.02;

    private final MetricRegistry registry;
    private final Map<String, Double> shares = new HashMap<>();

    LocalityMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Records a request that was sent to a server of its own or of another domain. */
    void onSent(String service, boolean isLeaving) {
        double share = shares.getOrDefault(service, 0.0);
        double updated = share + ((isLeaving ? 1 : 0) - share) * SHARE_WEIGHT;
        shares.put(service, updated);
        SettableGauge<Double> gauge = registry.gauge(PREFIX + "share_sent." + service);
        gauge.setValue(updated);
    }

    void onLeft(LeaveReason reason) {
        registry.counter(PREFIX + "left." + text(reason)).inc();
    }

    /** Records a request that stays although a server of another domain has room. */
    void onHeldBack(Obstacle obstacle) {
        registry.counter(PREFIX + "held_back." + text(obstacle)).inc();
    }

    void onBytes(ByteKind kind, long bytes) {
        registry.counter(PREFIX + "bytes." + text(kind)).inc(bytes);
    }

    static String text(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Kinds of bytes that cross the border of a failure domain. */
    enum ByteKind {
        REQUEST,
        RESPONSE,
        KV_CACHE
    }
}
