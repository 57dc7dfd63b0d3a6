package io.chivehollow.coordination.fairness;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.FairQueue.QueuedItem;

import static com.google.common.base.Preconditions.checkState;

/**
 * Start-time fair queueing over the teams of one service class.
 *
 * <p>The start tag of a team is the virtual time at which its next item may start. Serving an item advances the tag by
 * the item's cost divided by the team's weight. A team that was idle starts at the current virtual time, so that it
 * does not accumulate credit while it is idle. Virtual time is the highest start tag served; it never decreases. Not
 * thread-safe.
 */
final class ServiceClassQueue<T> {

    // Idle teams are removed above this number, which is five times the number of teams in the target deployment. The
    // charge of a request is adjusted after the request has left the queue, and the weight and start tag of a removed
    // team would be missing then.
    private static final int MAX_TEAMS = 1_000;

    private final Map<TeamId, TeamQueue<T>> teams = new HashMap<>();
    private double virtualTime;
    private int size;
    private long nextBusyOrder;

    void add(TeamId team, int weight, long cost, T item) {
        TeamQueue<T> queue = teams.computeIfAbsent(team, id -> new TeamQueue<>(virtualTime));
        if (queue.items.isEmpty()) {
            queue.startTag = Math.max(queue.startTag, virtualTime);
            queue.busyOrder = nextBusyOrder++;
        }
        queue.weight = weight;
        queue.items.put(item, cost);
        queue.queuedCost += cost;
        size++;
    }

    QueuedItem<T> peek() {
        return first(next());
    }

    QueuedItem<T> poll() {
        TeamQueue<T> queue = next();
        QueuedItem<T> first = first(queue);
        queue.items.remove(first.item());
        queue.queuedCost -= first.cost();
        size--;
        virtualTime = Math.max(virtualTime, queue.startTag);
        queue.startTag += (double) first.cost() / queue.weight;
        removeIdleTeams();
        return first;
    }

    void remove(TeamId team, T item) {
        TeamQueue<T> queue = teams.get(team);
        if (queue == null) {
            return;
        }
        Long cost = queue.items.remove(item);
        if (cost != null) {
            queue.queuedCost -= cost;
            size--;
        }
    }

    void adjustCharge(TeamId team, long costDifference) {
        TeamQueue<T> queue = teams.get(team);
        if (queue != null) {
            queue.startTag += (double) costDifference / queue.weight;
        }
    }

    int queuedCount(TeamId team) {
        TeamQueue<T> queue = teams.get(team);
        return queue == null ? 0 : queue.items.size();
    }

    long queuedCost() {
        long cost = 0;
        for (TeamQueue<T> queue : teams.values()) {
            cost += queue.queuedCost;
        }
        return cost;
    }

    // The team's queued items determine the new item's start tag; other teams are served up to the same tag before it.
    double costAhead(TeamId team, int weight) {
        TeamQueue<T> own = teams.get(team);
        double tag = own == null ? virtualTime : Math.max(virtualTime, own.startTag);
        double ahead = 0;
        if (own != null) {
            tag += (double) own.queuedCost / weight;
            ahead += own.queuedCost;
        }
        for (TeamQueue<T> queue : teams.values()) {
            if (queue != own && !queue.items.isEmpty()) {
                ahead += Math.min(queue.queuedCost, Math.max(0, tag - queue.startTag) * queue.weight);
            }
        }
        return ahead;
    }

    boolean isEmpty() {
        return size == 0;
    }

    private TeamQueue<T> next() {
        TeamQueue<T> best = null;
        for (TeamQueue<T> queue : teams.values()) {
            if (!queue.items.isEmpty() && (best == null || queue.isBefore(best))) {
                best = queue;
            }
        }
        checkState(best != null, "cannot take an item: the queue is empty");
        return best;
    }

    private QueuedItem<T> first(TeamQueue<T> queue) {
        Map.Entry<T, Long> first = queue.items.entrySet().iterator().next();
        return new QueuedItem<>(first.getKey(), first.getValue());
    }

    // An idle team whose start tag is at most the virtual time is equivalent to a new team, unless its charge is
    // adjusted later.
    private void removeIdleTeams() {
        if (teams.size() <= MAX_TEAMS) {
            return;
        }
        for (Iterator<TeamQueue<T>> i = teams.values().iterator(); i.hasNext(); ) {
            TeamQueue<T> queue = i.next();
            if (queue.items.isEmpty() && queue.startTag <= virtualTime) {
                i.remove();
            }
        }
    }

    private static final class TeamQueue<T> {
        private final Map<T, Long> items = new LinkedHashMap<>();
        private double startTag;
        private long queuedCost;
        private int weight = 1;
        private long busyOrder;

        TeamQueue(double startTag) {
            this.startTag = startTag;
        }

        // Breaks ties by the order in which the teams became busy, so that the order is the same in each run.
        boolean isBefore(TeamQueue<?> other) {
            return startTag != other.startTag ? startTag < other.startTag : busyOrder < other.busyOrder;
        }
    }
}
