package io.chivehollow.transport;

import io.chivehollow.protocol.wire.Frame;

/**
 * Handles the calls that a server receives.
 *
 * <p>Implementations are called on the event loops of several connections at once, so they must be thread-safe and must
 * not block.
 */
public interface CallHandler {

    /** Handles a new call with its first frame and returns the listener for the later events of the call. */
    ServerCallListener onCall(ServerCall call, Frame first);
}
