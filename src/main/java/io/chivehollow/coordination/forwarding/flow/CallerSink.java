package io.chivehollow.coordination.forwarding.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response of one request to its caller.
 *
 * <p>Either {@link #refuse} is called, or {@link #head}, followed by data and then {@link #end} or {@link #abort}.
 * Called on the event loop of the forwarding role.
 */
public interface CallerSink {

    /** Starts a response; without a content length it is sent in chunks. */
    void head(int status, HttpHeaders headers);

    /** Sends a part of the body; the buffer is released. */
    void data(ByteBuf data);

    /** Returns whether the caller takes what it is sent; if not, what follows is buffered. */
    boolean isWritable();

    /** Called after a part of a response was received, which is passed on or held by the process. */
    default void onHeldChanged() {}

    /** Ends a complete response. */
    void end();

    /** Terminates the response so that the caller detects that it is incomplete or missing. */
    void abort();

    /** Sends an error response that the router itself generates. */
    void refuse(Refusal refusal);
}
