package io.chivehollow.coordination.forwarding.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Takes the answer to one request.
 *
 * <p>Either {@link #refuse}, or {@link #head} followed by data and {@link #end} or {@link #abort}. Called on the event
 * loop of the forwarding role.
 */
public interface CallerSink {

    /** Starts an answer; without a length it is sent in chunks. */
    void head(int status, HttpHeaders headers);

    /** Sends a part of the body, which is released. */
    void data(ByteBuf data);

    /** Ends a complete answer. */
    void end();

    /** Ends an answer so that the caller sees that it is not complete, or that there is none. */
    void abort();

    /** Sends an answer of the router's own. */
    void refuse(Refusal refusal);
}
