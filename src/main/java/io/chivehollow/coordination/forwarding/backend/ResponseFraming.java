package io.chivehollow.coordination.forwarding.backend;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Tells how the end of a response is marked.
 *
 * <p>Stateless and thread-safe.
 */
public final class ResponseFraming {

    private ResponseFraming() {}

    /**
     * Returns whether a length or chunks mark the end of the response; otherwise the end of its connection does, and an
     * interrupted response may look complete.
     */
    public static boolean isStated(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /**
     * Returns whether the response states both a length and chunks. The codec removes the length from a response of
     * HTTP/1.1, but not from one of HTTP/1.0.
     */
    static boolean isContradictory(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) && HttpUtil.isTransferEncodingChunked(head);
    }
}
