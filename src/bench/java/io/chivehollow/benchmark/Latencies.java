package io.chivehollow.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;

/**
 * Collects durations and reports quantiles.
 *
 * <p>Not thread-safe.
 */
final class Latencies {

    private final List<Long> durationsNanos = new ArrayList<>();

    void add(long durationNanos) {
        durationsNanos.add(durationNanos);
    }

    /** Returns a quantile of the durations, in milliseconds. */
    double quantileMs(double quantile) {
        Snapshot snapshot = new UniformSnapshot(durationsNanos);
        return snapshot.getValue(quantile) / TimeUnit.MILLISECONDS.toNanos(1);
    }

    @Override
    public String toString() {
        return "p50 %.2f ms, p99 %.2f ms, %d requests"
                .formatted(quantileMs(0.5), quantileMs(0.99), durationsNanos.size());
    }
}
