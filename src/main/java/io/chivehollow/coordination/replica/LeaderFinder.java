package io.chivehollow.coordination.replica;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.chivehollow.base.InstanceId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Guesses which replica is the leader.
 *
 * <p>Thread-safe.
 */
final class LeaderFinder {

    private List<InetSocketAddress> replicas;
    private final Map<String, Integer> positionByInstance = new HashMap<>();
    private int position;

    LeaderFinder(List<InetSocketAddress> replicas) {
        checkArgument(!replicas.isEmpty(), "replicas must not be empty");
        this.replicas = List.copyOf(replicas);
    }

    /** Takes another list of replicas; the guess stays where it is if that replica is still there. */
    synchronized void setReplicas(List<InetSocketAddress> newReplicas) {
        InetSocketAddress guessed = guess();
        replicas = List.copyOf(newReplicas);
        position = Math.max(0, replicas.indexOf(guessed));
        positionByInstance.clear();
    }

    synchronized InetSocketAddress guess() {
        return replicas.get(position);
    }

    synchronized int replicaCount() {
        return replicas.size();
    }

    /** Remembers which instance has answered at the address. */
    synchronized void onConnected(InetSocketAddress address, InstanceId instance) {
        positionByInstance.put(instance.value(), replicas.indexOf(address));
    }

    /** Follows the hint, or moves to the next replica if there is none. */
    synchronized void onNotLeader(InetSocketAddress asked, String leader) {
        if (!guess().equals(asked)) {
            // Another call has moved on already.
            return;
        }
        Integer hinted = positionByInstance.get(leader);
        position = hinted != null && hinted != position ? hinted : (position + 1) % replicas.size();
    }

    synchronized void onFailure(InetSocketAddress asked) {
        onNotLeader(asked, "");
    }
}
