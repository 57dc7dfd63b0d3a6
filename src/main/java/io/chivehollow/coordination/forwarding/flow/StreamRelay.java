package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes the events of a stream on as they arrive.
 *
 * <p>Invariant: the caller gets whole events only, so that a stream which broke off can go on at another backend server
 * after the last of them. Not thread-safe.
 */
final class StreamRelay implements AnswerRelay {

    private final boolean isResumable;
    private final int status;
    private final HttpHeaders headers;
    private final CallerSink sink;
    private final Runnable onFirstByte;
    private final EventSplitter events = new EventSplitter();
    private boolean hasStarted;

    StreamRelay(boolean isResumable, int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        this.isResumable = isResumable;
        this.status = status;
        this.headers = headers;
        this.sink = sink;
        this.onFirstByte = onFirstByte;
    }

    @Override
    public void data(ByteBuf data) {
        ByteBuf whole = events.add(data);
        if (!whole.isReadable()) {
            return;
        }
        start();
        sink.data(whole);
    }

    private void start() {
        if (!hasStarted) {
            hasStarted = true;
            // The length of the first run's answer is not that of the whole stream if another run goes on.
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            onFirstByte.run();
            sink.head(status, headers);
        }
    }

    @Override
    public boolean isWhole() {
        return !events.hasPartial();
    }

    @Override
    public void end() {
        start();
        sink.end();
    }

    @Override
    public void onBroken() {
        events.dropPartial();
    }

    @Override
    public boolean hasStarted() {
        return hasStarted;
    }

    @Override
    public boolean canGoOn() {
        return isResumable && (!hasStarted || events.lastId().isPresent());
    }

    @Override
    public OptionalLong lastEventId() {
        return hasStarted ? events.lastId() : OptionalLong.empty();
    }

    @Override
    public void release() {
        events.dropPartial();
    }
}
