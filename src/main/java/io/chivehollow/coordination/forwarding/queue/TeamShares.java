package io.chivehollow.coordination.forwarding.queue;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What the teams have received of one service in the recent past, in relation to their shares.
 *
 * <p>Not thread-safe.
 */
final class TeamShares {

    /** Time in nanoseconds in which a past grant loses most of its weight; longer than a burst. */
    private static final double MEMORY_NANOS = 8e9;

    /** A team exceeds its share from this multiple on; below, the sample of one process proves nothing. */
    private static final double EXCESS = 2;

    /** Relative amount below which a team is forgotten. */
    private static final double NEGLIGIBLE = 1e-3;

    private final Map<String, Received> teams = new HashMap<>();
    private long updateNanos;

    /** Records that a request of the team was served. */
    void onServed(Urgency urgency, long size, long nowNanos) {
        decay(nowNanos);
        Received received = teams.computeIfAbsent(urgency.team(), team -> new Received());
        received.amount += size;
        received.statedWeight = urgency.teamWeight();
    }

    /** Returns what the team has received, in relation to its weight. */
    double received(Urgency urgency, long nowNanos) {
        decay(nowNanos);
        Received received = teams.get(urgency.team());
        return received == null ? 0 : received.amount / received.weight(meanWeight());
    }

    /** Returns whether the team has received much more than its share of what all active teams have received. */
    boolean exceedsShare(Urgency urgency, long nowNanos) {
        double received = received(urgency, nowNanos);
        double meanWeight = meanWeight();
        double amounts = 0;
        double weights = 0;
        for (Received team : teams.values()) {
            amounts += team.amount;
            weights += team.weight(meanWeight);
        }
        return received > 0 && received > EXCESS * amounts / weights;
    }

    /** Returns the mean of the stated weights, which also counts for teams that state none. */
    private double meanWeight() {
        return teams.values().stream()
                .mapToDouble(team -> team.statedWeight)
                .filter(weight -> weight > 0)
                .average()
                .orElse(1);
    }

    private void decay(long nowNanos) {
        double factor = Math.exp(-Math.max(0, nowNanos - updateNanos) / MEMORY_NANOS);
        updateNanos = nowNanos;
        double largest = 0;
        for (Received team : teams.values()) {
            team.amount *= factor;
            largest = Math.max(largest, team.amount);
        }
        for (Iterator<Received> i = teams.values().iterator(); i.hasNext(); ) {
            if (i.next().amount < largest * NEGLIGIBLE) {
                i.remove();
            }
        }
    }

    private static final class Received {

        private double amount;
        private double statedWeight;

        double weight(double meanWeight) {
            return statedWeight > 0 ? statedWeight : meanWeight;
        }
    }
}
