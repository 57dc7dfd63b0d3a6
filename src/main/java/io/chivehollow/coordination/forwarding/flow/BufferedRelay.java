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
 * <p>Invariant: nothing is sent before the end of the response unless the body exceeds the limit; from then on it is
 * passed on as it arrives. Not thread-safe.
 */
final class BufferedRelay implements ResponseRelay {

    /** Limits the buffer of one response in bytes; most responses have less than a kilobyte. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    private final int status;
    private final HttpHeaders headers;
    private final CallerSink sink;
    private final Runnable onFirstByte;
    private ByteBuf buffered = Unpooled.buffer();
    private boolean hasStarted;

    BufferedRelay(int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        this.status = status;
        this.headers = headers;
        this.sink = sink;
        this.onFirstByte = onFirstByte;
    }

    @Override
    public void data(ByteBuf data) {
        if (!hasStarted && buffered.readableBytes() + data.readableBytes() <= MAX_BUFFERED_BYTES) {
            buffered.writeBytes(data);
            data.release();
            return;
        }
        start();
        sink.data(data);
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
    public boolean isComplete() {
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
    public void release() {
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
    }
}
