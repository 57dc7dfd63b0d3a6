package io.chivehollow.coordination.loads;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.budget.LendingPeriod;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which backend servers may load a model or adapter from the weight store at the same time.
 *
 * <p>The replica that holds the leader lease uses it. The holder of a permit, which is a sidecar that waits to load or
 * loads, reports every second. Nothing is durable: for the first 5 s a new leader grants no permits and only accepts
 * the loads that already run, while the holders report to it. Invariants: no permit is granted while as many loads as
 * the limit were granted or reported as running and have not ended or expired; permits are granted in the order in
 * which the holders began to wait. Thread-safe.
 */
public final class WeightLoadSchedule {

    /** Time without a report after which a waiting load is removed; three reports are missing then. */
    static final long WAITING_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time without a report for which a running load counts, because the backend server may still be loading. */
    static final long LOADING_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time for which a new leader grants no permits, so that the holders of the old leader first report to it. */
    static final long NEW_LEADER_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final int maxLoads;
    private final long newLeaderPauseNanos;
    private final Map<String, ScheduledLoad> loads = new HashMap<>();
    private @Nullable LendingPeriod leaderPeriod;

    private WeightLoadSchedule(int maxLoads, long newLeaderPauseNanos) {
        checkArgument(maxLoads > 0, "maxLoads must be positive, but was %s", maxLoads);
        this.maxLoads = maxLoads;
        this.newLeaderPauseNanos = newLeaderPauseNanos;
    }

    /** Returns a schedule that allows the given number of concurrent loads. */
    public static WeightLoadSchedule create(int maxLoads) {
        return new WeightLoadSchedule(maxLoads, NEW_LEADER_PAUSE_NANOS);
    }

    /** Returns a schedule without the pause of a new leader, a fault that the checker in the tests must detect. */
    static WeightLoadSchedule withoutPause(int maxLoads) {
        return new WeightLoadSchedule(maxLoads, 0);
    }

    /**
     * Records a report and returns the position of the holder's load.
     *
     * @param permit id of the permit, which is unique for each load
     * @param stage stage of the load
     * @param waitedNanos time since the holder began to wait, measured by its own clock
     * @param leader period in which the caller is the leader
     * @param nowNanos a time at which the caller held the leader lease, on the clock of {@code leader}
     * @return 0 if the load may run, otherwise its position among the waiting loads, counted from 1
     */
    public synchronized int report(
            String permit, WeightLoadStage stage, long waitedNanos, LendingPeriod leader, long nowNanos) {
        if (!leader.equals(leaderPeriod)) {
            leaderPeriod = leader;
            loads.clear();
        }
        loads.values().removeIf(load -> load.isExpired(nowNanos));
        if (stage == WeightLoadStage.ENDED) {
            loads.remove(permit);
            return 0;
        }
        ScheduledLoad load = loads.computeIfAbsent(permit, id -> new ScheduledLoad(nowNanos - waitedNanos));
        load.lastReportNanos = nowNanos;
        load.isRunning |= stage == WeightLoadStage.LOADING;
        boolean isPaused = nowNanos - leader.leaseStartNanos() < newLeaderPauseNanos;
        int position = load.isRunning ? 0 : positionOf(load);
        if (position > 0 && !isPaused && runningLoads() + position <= maxLoads) {
            load.isRunning = true;
            return 0;
        }
        return position;
    }

    private int runningLoads() {
        return (int) loads.values().stream().filter(load -> load.isRunning).count();
    }

    /** Returns the position among the waiting loads, counted from 1. */
    private int positionOf(ScheduledLoad load) {
        List<ScheduledLoad> waiting = new ArrayList<>(loads.values());
        waiting.removeIf(other -> other.isRunning);
        waiting.sort(Comparator.comparingLong(other -> other.waitingSinceNanos));
        return waiting.indexOf(load) + 1;
    }

    /** A load that waits or runs; guarded by the lock of the schedule. */
    private static final class ScheduledLoad {

        private final long waitingSinceNanos;
        private long lastReportNanos;
        private boolean isRunning;

        ScheduledLoad(long waitingSinceNanos) {
            this.waitingSinceNanos = waitingSinceNanos;
        }

        boolean isExpired(long nowNanos) {
            return nowNanos - lastReportNanos > (isRunning ? LOADING_EXPIRY_NANOS : WAITING_EXPIRY_NANOS);
        }
    }
}
