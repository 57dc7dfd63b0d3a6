package io.chivehollow.coordination.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.chivehollow.base.TeamId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A queue with start-time fair queueing over teams and a guaranteed share for batch work.
 *
 * <p>Interactive items are served before batch items, except that batch items receive the guaranteed share of the
 * served cost while both classes have queued items. Within each class, the normalized service (cost divided by weight)
 * of two teams that always have queued items differs by at most the normalized cost of one item of each. The items of
 * one team and class are served in the order of their arrival. Items are identified by {@link Object#equals}. Not
 * thread-safe; the caller provides a lock.
 *
 * @param <T> the type of the queued items
 */
public final class FairQueue<T> {

    /** Default share of the served cost that batch work receives while interactive work is queued. */
    public static final double DEFAULT_BATCH_SHARE = 0.1;

    private final double batchShare;
    private final ServiceClassQueue<T> interactive = new ServiceClassQueue<>();
    private final ServiceClassQueue<T> batch = new ServiceClassQueue<>();
    private final Map<T, Location> locations = new HashMap<>();

    // Cost of the batch work that may be served ahead of queued interactive work.
    private double batchCredit;

    private FairQueue(double batchShare) {
        this.batchShare = batchShare;
    }

    /** Returns an empty queue with the default guaranteed share of batch work. */
    public static <T> FairQueue<T> create() {
        return create(DEFAULT_BATCH_SHARE);
    }

    /** Returns an empty queue with the given guaranteed share of batch work, at least 0 and less than 1. */
    public static <T> FairQueue<T> create(double batchShare) {
        checkArgument(batchShare >= 0 && batchShare < 1, "batchShare must be in [0, 1), but was %s", batchShare);
        return new FairQueue<>(batchShare);
    }

    /** Appends an item; the weight applies to all queued items of the team in this class. */
    public void add(TeamId team, int weight, Priority priority, long cost, T item) {
        checkArgument(weight > 0, "weight must be positive, but was %s", weight);
        checkArgument(cost > 0, "cost must be positive, but was %s", cost);
        checkArgument(!locations.containsKey(item), "item is already in the queue: %s", item);
        queueOf(priority).add(team, weight, cost, item);
        locations.put(item, new Location(team, priority));
    }

    /** Removes the next item, charges its cost to its team, and returns it; returns empty if the queue is empty. */
    public Optional<T> poll() {
        if (size() == 0) {
            return Optional.empty();
        }
        boolean fromBatch = isBatchNext();
        boolean contended = !interactive.isEmpty() && !batch.isEmpty();
        QueuedItem<T> next = (fromBatch ? batch : interactive).poll();
        if (fromBatch) {
            batchCredit = batch.isEmpty() ? 0 : Math.max(0, batchCredit - next.cost());
        } else if (contended) {
            batchCredit += next.cost() * batchShare / (1 - batchShare);
        }
        locations.remove(next.item());
        return Optional.of(next.item());
    }

    /** Returns the item that {@link #poll} would remove, or empty if the queue is empty. */
    public Optional<T> peek() {
        if (size() == 0) {
            return Optional.empty();
        }
        return Optional.of((isBatchNext() ? batch : interactive).peek().item());
    }

    /** Removes an item without charging its team and returns whether it was in the queue. */
    public boolean remove(T item) {
        Location location = locations.remove(item);
        if (location == null) {
            return false;
        }
        queueOf(location.priority()).remove(location.team(), item);
        if (batch.isEmpty()) {
            batchCredit = 0;
        }
        return true;
    }

    /** Adjusts the charge for an interactive item that has left the queue, when its actual cost has become known. */
    public void correct(TeamId team, long costDifference) {
        correct(team, Priority.INTERACTIVE, costDifference);
    }

    /** Adjusts the charge for an item that has left the queue, when its actual cost has become known. */
    public void correct(TeamId team, Priority priority, long costDifference) {
        queueOf(priority).adjustCharge(team, costDifference);
    }

    /** Returns the number of queued items. */
    public int size() {
        return locations.size();
    }

    /** Returns the number of queued items of a team. */
    public int waiting(TeamId team) {
        return interactive.queuedCount(team) + batch.queuedCount(team);
    }

    /** Returns the number of queued items of a team in a class. */
    public int waiting(TeamId team, Priority priority) {
        return queueOf(priority).queuedCount(team);
    }

    /** Returns the total cost of the queued items of a class. */
    public long waitingCost(Priority priority) {
        return queueOf(priority).queuedCost();
    }

    /**
     * Returns an estimate of the cost of the queued items of the class that are served before a new item of a team.
     *
     * <p>For a team with little work it is much less than the cost of all queued items. A wait time estimated from the
     * whole queue would cause rejections of such a team because of another team's backlog.
     */
    public double costAhead(TeamId team, int weight, Priority priority) {
        checkArgument(weight > 0, "weight must be positive, but was %s", weight);
        return queueOf(priority).costAhead(team, weight);
    }

    private boolean isBatchNext() {
        if (interactive.isEmpty() || batch.isEmpty()) {
            return interactive.isEmpty();
        }
        return batchShare > 0 && batchCredit >= batch.peek().cost();
    }

    private ServiceClassQueue<T> queueOf(Priority priority) {
        return priority == Priority.INTERACTIVE ? interactive : batch;
    }

    private record Location(TeamId team, Priority priority) {}

    /** A queued item and its cost; immutable. */
    record QueuedItem<T>(T item, long cost) {}
}
