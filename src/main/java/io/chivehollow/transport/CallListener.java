package io.chivehollow.transport;

import io.chivehollow.protocol.wire.Frame;

/**
 * Receives the response to a call on the client's side.
 *
 * <p>The methods run on the connection's event loop, one at a time, and must not block. After a frame that is marked
 * as last, or after {@link #onFailure}, no method is called.
 */
public interface CallListener {

    /** Called with each frame of the response. */
    void onFrame(Frame frame);

    /** Called with the error that ended the call. */
    void onFailure(TransportException failure);
}
