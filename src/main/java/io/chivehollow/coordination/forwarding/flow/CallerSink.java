package io.chivehollow.coordination.forwarding.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Sends the response of one request to its caller. */
public interface CallerSink {

    /** Starts a response; without a content length it is sent in chunks. */
    void head(int status, HttpHeaders headers);

    /** Sends a part of the body; the buffer is released. */
    void data(ByteBuf data);

    /** Ends a complete response. */
    void end();

    /** Terminates the response so that the caller detects that it is incomplete or missing. */
    void abort();

    /** Sends an error response that the router itself generates. */
    void refuse(Refusal refusal);
}
