package io.chivehollow.metrics;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import io.chivehollow.state.consensus.MemberObserver;
import io.chivehollow.state.consensus.ReplicatedLog;

/**
 * Metrics of a replica.
 *
 * <p>Thread-safe.
 */
public final class ReplicaMetrics implements MemberObserver {

    private static final List<String> ROLES = List.of("learner", "follower", "pre_candidate", "candidate", "leader");
    private static final int SAMPLES_PER_HISTOGRAM = 128;

    /** Time without a reply after which a voter is counted as silent; several heartbeats are missing then. */
    private static final long SILENCE_MS = 1_000;

    /** The library's default, which gives the values of the last 5 minutes the most weight. */
    private static final double DECAY_FACTOR = 0.015;

    private final MetricRegistry registry;
    private final Histogram syncTimes;

    private ReplicaMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.syncTimes = registry.histogram(
                "replica.sync_us",
                () -> new Histogram(new ExponentiallyDecayingReservoir(SAMPLES_PER_HISTOGRAM, DECAY_FACTOR)));
    }

    /** Returns metrics that are stored in the registry. */
    public static ReplicaMetrics create(MetricRegistry registry) {
        return new ReplicaMetrics(registry);
    }

    @Override
    public void onSync(long durationNanos) {
        syncTimes.update(TimeUnit.NANOSECONDS.toMicros(durationNanos));
    }

    @Override
    public void onProposals(int accepted, int refused) {
        count("accepted", accepted);
        count("refused", refused);
    }

    private void count(String outcome, int proposals) {
        registry.counter(MetricNames.withLabel("replica.proposals", "outcome", outcome))
                .inc(proposals);
    }

    /** Updates the gauges to the current status of the replicated log. */
    public void update(ReplicatedLog.Status status) {
        set("replica.term", status.term());
        set("replica.commit_index", status.commitIndex());
        set("replica.applied_index", status.appliedIndex());
        set("replica.log_bytes", status.logBytes());
        for (String role : ROLES) {
            set(MetricNames.withLabel("replica.role", "role", role), role.equals(status.role()) ? 1 : 0);
        }
        List<ReplicatedLog.MemberStatus> voters = status.members().stream()
                .filter(ReplicatedLog.MemberStatus::isVoter)
                .toList();
        set("replica.voters", voters.size());
        set(
                "replica.silent_voters",
                voters.stream()
                        .filter(voter -> voter.sinceLastReplyMs() > SILENCE_MS)
                        .count());
    }

    /** Records that the disk has refused a write and that the replica is stopped until it is reopened. */
    public void onStorageFailed() {
        registry.counter("replica.storage_failures").inc();
        set("replica.storage_failed", 1);
        ROLES.forEach(role -> set(MetricNames.withLabel("replica.role", "role", role), 0));
    }

    /** Records that the replica runs. */
    public void onStorageOpened() {
        set("replica.storage_failed", 0);
    }

    private void set(String name, long value) {
        SettableGauge<Long> gauge = registry.gauge(name);
        gauge.setValue(value);
    }
}
