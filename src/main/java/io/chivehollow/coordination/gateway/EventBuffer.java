package io.chivehollow.coordination.gateway;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;

/**
 * Buffers the events of a streamed response that have not been delivered to the caller yet.
 *
 * <p>Thread-safe. Events are delivered only on demand of the connection. If many parts of the text are pending, further
 * ones are appended to the last, so that a slow caller takes little more memory than the text itself. The buffer never
 * slows down the engine, whose memory is scarcer than the gateway's. Invariants: no part of the text is lost; at most
 * the given number of characters is pending, apart from a single longer part; the stream completes after its last
 * event.
 */
final class EventBuffer {

    /**
     * Number of parts that are pending as separate events, so that a short pause of the caller does not merge events.
     */
    static final int MAX_SEPARATE_PARTS = 256;

    private final int maxChars;
    private final Function<String, byte[]> textEvent;
    private final Deque<byte[]> leadingEvents = new ArrayDeque<>();
    private final Deque<StringBuilder> pendingParts = new ArrayDeque<>();
    private final Deque<byte[]> trailingEvents = new ArrayDeque<>();
    private final AtomicInteger pendingDrains = new AtomicInteger();
    private volatile @Nullable FluxSink<byte[]> sink;
    private long pendingChars;
    private boolean isFinished;

    /**
     * Creates an empty buffer.
     *
     * @param maxChars characters of text that may be pending
     * @param textEvent returns the event for a text
     */
    EventBuffer(int maxChars, Function<String, byte[]> textEvent) {
        this.maxChars = maxChars;
        this.textEvent = textEvent;
    }

    /** Returns the stream, which supports one subscriber; the action runs if the subscriber cancels. */
    Flux<byte[]> events(Runnable onCancel) {
        return Flux.create(
                subscribed -> {
                    sink = subscribed;
                    subscribed.onCancel(onCancel::run);
                    subscribed.onRequest(wanted -> drain());
                },
                FluxSink.OverflowStrategy.IGNORE);
    }

    /** Adds an event that precedes all text. */
    void start(byte[] event) {
        synchronized (this) {
            leadingEvents.add(event);
        }
        drain();
    }

    /** Adds text and returns true; returns false, without adding it, if too much text is pending already. */
    boolean addText(String part) {
        synchronized (this) {
            if (!pendingParts.isEmpty() && pendingChars + part.length() > maxChars) {
                return false;
            }
            pendingChars += part.length();
            if (pendingParts.size() < MAX_SEPARATE_PARTS) {
                pendingParts.add(new StringBuilder(part));
            } else {
                pendingParts.getLast().append(part);
            }
        }
        drain();
        return true;
    }

    /** Adds the events that follow all text, and ends the stream. */
    void finish(byte[]... events) {
        synchronized (this) {
            trailingEvents.addAll(Arrays.asList(events));
            isFinished = true;
        }
        drain();
    }

    /** Delivers the requested events, without holding the lock because the receiver may call back into this buffer. */
    private void drain() {
        if (pendingDrains.getAndIncrement() != 0) {
            return;
        }
        int handled = 1;
        while (handled != 0) {
            FluxSink<byte[]> receiver = sink;
            if (receiver != null) {
                deliver(receiver);
            }
            handled = pendingDrains.addAndGet(-handled);
        }
    }

    private void deliver(FluxSink<byte[]> receiver) {
        while (receiver.requestedFromDownstream() > 0) {
            byte[] next = poll();
            if (next == null) {
                break;
            }
            receiver.next(next);
        }
        if (isComplete()) {
            receiver.complete();
        }
    }

    private synchronized byte @Nullable [] poll() {
        if (!leadingEvents.isEmpty()) {
            return leadingEvents.poll();
        }
        StringBuilder part = pendingParts.poll();
        if (part != null) {
            pendingChars -= part.length();
            return textEvent.apply(part.toString());
        }
        return trailingEvents.poll();
    }

    private synchronized boolean isComplete() {
        return isFinished && leadingEvents.isEmpty() && pendingParts.isEmpty() && trailingEvents.isEmpty();
    }
}
