package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.chivehollow.coordination.forwarding.backend.ResponseEnd;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes the events of a streamed response on as they arrive.
 *
 * <p>Invariants: the caller receives complete events only, so that an interrupted stream can be resumed at another
 * backend server after the last of them; no event of an earlier run is passed on again. Not thread-safe.
 */
final class StreamRelay implements ResponseRelay {

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
    public boolean data(ByteBuf data) {
        ByteBuf completeEvents = events.add(data);
        if (completeEvents.isReadable()) {
            start();
            sink.data(completeEvents);
        }
        return !events.isPartialTooLong() && !events.hasRepeatedEvent();
    }

    private void start() {
        if (!hasStarted) {
            hasStarted = true;
            // If another run resumes the stream, the content length of the first run is not that of the complete
            // stream.
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            onFirstByte.run();
            sink.head(status, headers);
        }
    }

    @Override
    public boolean isComplete(boolean isEndStated) {
        return ResponseEnd.isEndOfStream(isEndStated, events.hasPartial(), events.hasEventOfRun());
    }

    @Override
    public void end() {
        start();
        sink.end();
    }

    @Override
    public void onInterrupted() {
        events.discardPartial();
    }

    @Override
    public boolean hasStarted() {
        return hasStarted;
    }

    @Override
    public boolean canResume() {
        return isResumable && (!hasStarted || events.lastId().isPresent());
    }

    @Override
    public OptionalLong lastEventId() {
        return hasStarted ? events.lastId() : OptionalLong.empty();
    }

    @Override
    public int eventsOfRun() {
        return events.eventsOfRun();
    }

    @Override
    public void release() {
        events.release();
    }
}
