package io.chivehollow.coordination.replica;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.chivehollow.base.InstanceId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Tracks which replica is presumably the leader.
 *
 * <p>Thread-safe.
 */
final class LeaderFinder {

    private List<InetSocketAddress> replicas;
    private final Map<String, Integer> positionByInstance = new HashMap<>();
    private int presumedPosition;

    LeaderFinder(List<InetSocketAddress> replicas) {
        checkArgument(!replicas.isEmpty(), "replicas must not be empty");
        this.replicas = List.copyOf(replicas);
    }

    /** Replaces the replicas; the presumed leader stays the same if the new list contains it. */
    synchronized void setReplicas(List<InetSocketAddress> newReplicas) {
        InetSocketAddress presumed = presumedLeader();
        replicas = List.copyOf(newReplicas);
        presumedPosition = Math.max(0, replicas.indexOf(presumed));
        positionByInstance.clear();
    }

    synchronized InetSocketAddress presumedLeader() {
        return replicas.get(presumedPosition);
    }

    synchronized int replicaCount() {
        return replicas.size();
    }

    /** Records which instance is reachable at the address. */
    synchronized void onConnected(InetSocketAddress address, InstanceId instance) {
        positionByInstance.put(instance.value(), replicas.indexOf(address));
    }

    /** Follows the hint of a replica that is not the leader, or moves to the next replica if the hint is empty. */
    synchronized void onNotLeader(InetSocketAddress queried, String leader) {
        if (!presumedLeader().equals(queried)) {
            // A concurrent call has already changed the presumed leader.
            return;
        }
        Integer hinted = positionByInstance.get(leader);
        presumedPosition =
                hinted != null && hinted != presumedPosition ? hinted : (presumedPosition + 1) % replicas.size();
    }

    synchronized void onFailure(InetSocketAddress queried) {
        onNotLeader(queried, "");
    }
}
