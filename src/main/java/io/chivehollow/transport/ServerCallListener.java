package io.chivehollow.transport;

import io.chivehollow.protocol.wire.Frame;

/**
 * Receives the client's frames for an open call, and its cancellation.
 *
 * <p>The methods run on the connection's event loop, one at a time, and must not block.
 */
public interface ServerCallListener {

    /** Called with each further frame from the client. */
    default void onFrame(Frame frame) {}

    /** Called when the client has cancelled the call or its connection has closed. */
    default void onCancel() {}

    /** Returns a listener that ignores all frames and the cancellation. */
    static ServerCallListener none() {
        return new ServerCallListener() {};
    }
}
