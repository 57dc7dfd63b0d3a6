package io.chivehollow.state.consensus;

import io.chivehollow.base.InstanceId;

/**
 * Sends the messages of the replicated log to other members.
 *
 * <p>Implementations are thread-safe and do not block. Messages may be lost, delayed, duplicated or reordered, but not
 * modified, and only the named instance may receive them. The receiving side passes them to {@link
 * ConsensusMember#receive}.
 */
public interface PeerTransport {

    /** Sends a message to the instance, or discards it if that is not possible. */
    void send(InstanceId to, byte[] message);
}
