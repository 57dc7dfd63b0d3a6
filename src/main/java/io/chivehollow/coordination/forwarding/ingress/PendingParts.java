package io.chivehollow.coordination.forwarding.ingress;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * The parts of later requests that a caller has sent before the response to the current one.
 *
 * <p>Not thread-safe.
 */
final class PendingParts {

    private static final int MAX_PARTS = 256;
    private static final int MAX_BYTES = 65_536;

    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private long contentBytes;

    void add(HttpObject part) {
        parts.add(part);
        contentBytes += contentBytes(part);
    }

    HttpObject removeFirst() {
        HttpObject first = parts.removeFirst();
        contentBytes -= contentBytes(first);
        return first;
    }

    private static int contentBytes(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns whether no further parts should be read. */
    boolean isFull() {
        return parts.size() > MAX_PARTS || contentBytes > MAX_BYTES;
    }

    long contentBytes() {
        return contentBytes;
    }

    void release() {
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
        contentBytes = 0;
    }
}
