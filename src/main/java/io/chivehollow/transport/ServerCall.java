package io.chivehollow.transport;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Frame;

/**
 * An open call on the server's side.
 *
 * <p>Implementations are thread-safe. After {@link #finish} or {@link #fail}, or after the client has cancelled the
 * call, frames are discarded.
 */
public interface ServerCall {

    /** Returns the client's instance, which proved its identity in the handshake. */
    InstanceId peer();

    /** Returns the id of the call's connection, which is unique in this process. */
    long connectionId();

    /** Sends a frame that is not the last one. */
    void send(Frame.Builder frame);

    /** Sends the last frame and ends the call. */
    void finish(Frame.Builder frame);

    /** Ends the call with an error. */
    void fail(Failure failure);

    /**
     * Ends the call with an error that reports no load.
     *
     * @param notRun whether the request has certainly not been run
     */
    default void fail(ErrorCode code, String message, boolean notRun) {
        fail(Failure.newBuilder()
                .setCode(code.wireName())
                .setMessage(message)
                .setNotRun(notRun)
                .build());
    }
}
