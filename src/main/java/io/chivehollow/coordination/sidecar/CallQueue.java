package io.chivehollow.coordination.sidecar;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.FairQueue;
import io.chivehollow.coordination.fairness.Priority;

/**
 * Stores the open calls of one kind and queues some of them in fair order.
 *
 * <p>Used on the sidecar's event loop. Invariant: every queued call is open.
 *
 * @param <T> the type of the calls
 */
final class CallQueue<T> {

    private final ReleasedAdmission admission;
    private final FairQueue<T> queue = FairQueue.create();
    private final Set<T> openCalls = new LinkedHashSet<>();

    CallQueue(ReleasedAdmission admission) {
        this.admission = admission;
    }

    void add(T call) {
        openCalls.add(call);
    }

    /** Removes a call that has ended. */
    void remove(T call) {
        openCalls.remove(call);
        queue.remove(call);
    }

    boolean isEmpty() {
        return openCalls.isEmpty();
    }

    /** Returns a copy of the open calls, so that calls may end while the result is iterated. */
    List<T> openCalls() {
        return List.copyOf(openCalls);
    }

    int queuedCount() {
        return queue.size();
    }

    int queuedCount(TeamId team) {
        return queue.queuedCount(team);
    }

    int queuedCount(TeamId team, Priority priority) {
        return queue.queuedCount(team, priority);
    }

    /** Queues an open call; the team is empty for calls of open routes. */
    void enqueue(T call, String team, Priority priority, long cost) {
        TeamId id = ReleasedAdmission.teamOf(team);
        queue.add(id, admission.weight(id), priority, cost, call);
    }

    /** Removes a call from the queue without charging its team, and returns whether it was queued. */
    boolean dequeue(T call) {
        return queue.remove(call);
    }

    Optional<T> peek() {
        return queue.peek();
    }

    Optional<T> poll() {
        return queue.poll();
    }

    /** Adds the difference between the actual and the estimated cost of a call to the charge of its team. */
    void adjustCharge(String team, Priority priority, long costDifference) {
        queue.adjustCharge(ReleasedAdmission.teamOf(team), priority, costDifference);
    }

    /** Returns the fraction of the queued cost of a priority that is served before a new call of the team. */
    double shareAhead(String team, Priority priority) {
        TeamId id = ReleasedAdmission.teamOf(team);
        double ahead = queue.costAhead(id, admission.weight(id), priority);
        return ahead / Math.max(1, queue.queuedCost(priority));
    }
}
