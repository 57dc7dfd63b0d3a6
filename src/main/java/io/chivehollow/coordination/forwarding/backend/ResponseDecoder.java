package io.chivehollow.coordination.forwarding.backend;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes the responses on a connection that carries one request at a time.
 *
 * <p>Used on the event loop of the connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private HttpMethod method = HttpMethod.GET;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets the method of the request whose response comes next. */
    void start(HttpMethod requestMethod) {
        method = requestMethod;
    }

    /** Returns whether bytes were received of which no message could be decoded yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            boolean isTunnel =
                    method.equals(HttpMethod.CONNECT) && response.status().equals(HttpResponseStatus.OK);
            if (isTunnel || method.equals(HttpMethod.HEAD)) {
                return true;
            }
        }
        return super.isContentAlwaysEmpty(message);
    }
}
