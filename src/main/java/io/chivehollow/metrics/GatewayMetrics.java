package io.chivehollow.metrics;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;

/**
 * Metrics of a gateway, per team and request class.
 *
 * <p>Thread-safe. The number of series is bounded by the number of teams of the configuration, because only
 * authenticated teams are recorded.
 */
public final class GatewayMetrics {

    /** Team label of requests without an authenticated team. */
    public static final TeamId NO_TEAM = TeamId.of("-");

    /**
     * 200 teams with 2 classes have 2,000 histograms. At about 100 bytes per sample they take 26 MB; the library's
     * default of 1,028 samples would exceed the 64 MB available for control-plane work.
     */
    private static final int SAMPLES_PER_HISTOGRAM = 128;

    /** The library's default, which gives the values of the last 5 minutes the most weight. */
    private static final double DECAY_FACTOR = 0.015;

    private final MetricRegistry registry;

    private GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns metrics that are stored in the registry. */
    public static GatewayMetrics create(MetricRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Records the time from the arrival of a request to its first token, in milliseconds. */
    public void firstToken(TeamId team, RequestClass requestClass, long timeMs) {
        histogram("time_to_first_token_ms", team, requestClass).update(timeMs);
    }

    /** Records the time between two output tokens, in microseconds. */
    public void betweenTokens(TeamId team, RequestClass requestClass, long timeMicros) {
        histogram("time_between_tokens_us", team, requestClass).update(timeMicros);
    }

    /** Records how long a request waited for budget and a backend server, in milliseconds. */
    public void queueWait(TeamId team, RequestClass requestClass, long timeMs) {
        histogram("queue_wait_ms", team, requestClass).update(timeMs);
    }

    /** Records the number of prompt and output tokens of a response. */
    public void tokens(TeamId team, RequestClass requestClass, long promptTokens, long outputTokens) {
        histogram("prompt_tokens", team, requestClass).update(promptTokens);
        histogram("output_tokens", team, requestClass).update(outputTokens);
    }

    /** Counts a complete response. */
    public void completed(TeamId team, RequestClass requestClass) {
        registry.counter(MetricNames.withLabel("gateway.completed", team, requestClass))
                .inc();
    }

    /**
     * Counts an error response.
     *
     * @param notRun whether the response states that the request was not run
     */
    public void failed(TeamId team, ErrorCode code, boolean notRun) {
        registry.counter(MetricNames.failureCounter(team, code, notRun)).inc();
    }

    /** Counts a retry. */
    public void retried() {
        registry.counter("gateway.retries").inc();
    }

    private Histogram histogram(String name, TeamId team, RequestClass requestClass) {
        return registry.histogram(
                MetricNames.withLabel("gateway." + name, team, requestClass),
                () -> new Histogram(new ExponentiallyDecayingReservoir(SAMPLES_PER_HISTOGRAM, DECAY_FACTOR)));
    }
}
