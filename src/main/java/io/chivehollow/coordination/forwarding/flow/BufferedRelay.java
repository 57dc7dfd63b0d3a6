package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes a response on when it is complete, so that an interrupted response can be replaced or reported with an error
 * status.
 *
 * <p>Invariant: nothing is sent before the end of the response unless the body exceeds the limit of the buffer; from
 * then on it is passed on as it arrives. A body of no stated length is limited, because it may have no end. Not
 * thread-safe.
 */
final class BufferedRelay implements ResponseRelay {

    /** Limits the buffer of one response in bytes; most responses have less than a kilobyte. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    /** Limits a body of which the backend server does not state the length, in bytes. */
    private static final int MAX_UNSTATED_BYTES = 16 << 20;

    private final int status;
    private final HttpHeaders headers;
    private final CallerSink sink;
    private final Runnable onFirstByte;
    private ByteBuf buffered = Unpooled.buffer();
    private long receivedBytes;
    private boolean hasStarted;

    BufferedRelay(int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        this.status = status;
        this.headers = headers;
        this.sink = sink;
        this.onFirstByte = onFirstByte;
    }

    @Override
    public boolean data(ByteBuf data) {
        receivedBytes += data.readableBytes();
        if (!hasStarted && receivedBytes <= MAX_BUFFERED_BYTES) {
            buffered.writeBytes(data);
            data.release();
            return true;
        }
        start();
        sink.data(data);
        return receivedBytes <= MAX_UNSTATED_BYTES || headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private void start() {
        if (hasStarted) {
            return;
        }
        hasStarted = true;
        onFirstByte.run();
        sink.head(status, headers);
        if (buffered.isReadable()) {
            sink.data(buffered);
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public boolean isComplete(boolean isEndStated) {
        return true;
    }

    @Override
    public void end() {
        if (!hasStarted && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, buffered.readableBytes());
        }
        start();
        sink.end();
    }

    @Override
    public void onInterrupted() {
        buffered.clear();
        receivedBytes = 0;
    }

    @Override
    public boolean hasStarted() {
        return hasStarted;
    }

    @Override
    public boolean canResume() {
        return false;
    }

    @Override
    public OptionalLong lastEventId() {
        return OptionalLong.empty();
    }

    @Override
    public long heldBytes() {
        return buffered.readableBytes();
    }

    @Override
    public void release() {
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
    }
}
