package io.chivehollow.transport;

import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Frame;

/**
 * A connection to a server, ready for calls.
 *
 * <p>Implementations are thread-safe.
 */
public interface ClientConnection {

    /**
     * Opens a call with its first frame.
     *
     * <p>If the connection is closed, the listener's {@link CallListener#onFailure} is called at once, with an error
     * whose {@link TransportException#isNotRun} is true because nothing was sent.
     */
    ClientCall open(Frame.Builder first, CallListener listener);

    /** Returns the instance that proved its identity in the handshake. */
    InstanceId peer();

    /** Returns whether calls can be opened. */
    boolean isOpen();

    /** Returns whether at least one call is open. */
    boolean hasOpenCalls();

    /** Closes the connection; open calls fail. */
    void close();
}
