package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes an answer on when it is complete, so that one that breaks off can be replaced or reported with a status.
 *
 * <p>Invariant: nothing is sent before the end unless the body exceeds the limit; then it is passed on as it arrives.
 * Not thread-safe.
 */
final class WholeRelay implements AnswerRelay {

    /** Bounds the memory of one answer; most have less than a kilobyte. */
    private static final int MAX_KEPT_BYTES = 65_536;

    private final int status;
    private final HttpHeaders headers;
    private final CallerSink sink;
    private final Runnable onFirstByte;
    private ByteBuf kept = Unpooled.buffer();
    private boolean hasStarted;

    WholeRelay(int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        this.status = status;
        this.headers = headers;
        this.sink = sink;
        this.onFirstByte = onFirstByte;
    }

    @Override
    public void data(ByteBuf data) {
        if (!hasStarted && kept.readableBytes() + data.readableBytes() <= MAX_KEPT_BYTES) {
            kept.writeBytes(data);
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
        if (kept.isReadable()) {
            sink.data(kept);
            kept = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public boolean isWhole() {
        return true;
    }

    @Override
    public void end() {
        if (!hasStarted && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, kept.readableBytes());
        }
        start();
        sink.end();
    }

    @Override
    public void onBroken() {
        kept.clear();
    }

    @Override
    public boolean hasStarted() {
        return hasStarted;
    }

    @Override
    public boolean canGoOn() {
        return false;
    }

    @Override
    public OptionalLong lastEventId() {
        return OptionalLong.empty();
    }

    @Override
    public void release() {
        kept.release();
        kept = Unpooled.EMPTY_BUFFER;
    }
}
