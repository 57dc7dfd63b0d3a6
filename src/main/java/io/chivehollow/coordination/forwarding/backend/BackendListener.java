package io.chivehollow.coordination.forwarding.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of a backend server.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailure} is called, as the last call, unless the request is cancelled.
 * Called on the event loop of the forwarding role.
 */
public interface BackendListener {

    /** Called when the request was passed to the connection, which may take it later. */
    default void onWritten() {}

    /** Called with the head of the response. */
    void onHead(HttpResponse head);

    /**
     * Called with a part of the body, which the listener must release.
     *
     * @return whether the response may go on; if not, the call fails as {@link Failure#BROKEN_ANSWER} and its
     *     connection is closed
     */
    boolean onData(ByteBuf data);

    /**
     * Returns whether the receiver finds the end of the body in its content, so that an incomplete body cannot be taken
     * for a complete one.
     */
    default boolean isEndInContent() {
        return false;
    }

    /** Returns whether the body is not used, so that an orderly end of the connection may end it anywhere. */
    default boolean isHeadEnough() {
        return false;
    }

    /**
     * Called before {@link #onEnd} or {@link #onFailure} if only the connection marks the end of the response.
     *
     * @param evidence text for the log: how it was decided whether the response is complete
     */
    default void onConnectionEnd(String evidence) {}

    /** Called at the end of a complete response. */
    void onEnd();

    /** Called if there is no complete response; the reason is text for the log. */
    void onFailure(Failure failure, String reason);

    /** The progress that a failed request had made. */
    enum Failure {
        /** No byte of the request has left this process. */
        NOT_SENT,
        /** The request was sent, but no response arrived. */
        NO_ANSWER,
        /** The response was interrupted, is not valid HTTP, or must not be passed on to the caller. */
        BROKEN_ANSWER
    }
}
