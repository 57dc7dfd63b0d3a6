package io.chivehollow.transport;

import io.chivehollow.protocol.wire.Frame;

/**
 * An open call on the client's side.
 *
 * <p>Implementations are thread-safe.
 */
public interface ClientCall {

    /** Sends one more frame to the server; does nothing if the call has ended. */
    void send(Frame.Builder frame);

    /** Ends the call and sends a cancellation to the server; the listener is not called any more. */
    void cancel();
}
