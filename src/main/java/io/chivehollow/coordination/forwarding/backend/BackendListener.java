package io.chivehollow.coordination.forwarding.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears the answer of a backend server.
 *
 * <p>After {@link #onEnd} or {@link #onFailure}, of which exactly one is called, nothing follows. Called on the event
 * loop of the forwarding role.
 */
public interface BackendListener {

    /** Takes the head of the answer. */
    void onHead(HttpResponse head);

    /** Takes a part of the body, which is the listener's to release. */
    void onData(ByteBuf data);

    /** Takes the end of a complete answer. */
    void onEnd();

    /** Takes a failure. */
    void onFailure(Failure failure, String reason);

    /** How far a failed request got. */
    enum Failure {
        /** No byte of the request has left this process. */
        NOT_SENT,
        /** The request was sent, and no answer came. */
        NO_ANSWER,
        /** The answer broke off or is not valid HTTP. */
        BROKEN_ANSWER
    }
}
