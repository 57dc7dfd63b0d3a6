package io.chivehollow.coordination.forwarding.reserve;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.chivehollow.coordination.forwarding.queue.QueueEvents.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * A request that waits in the memory queue.
 *
 * <p>Invariant: the listener is called once, with null if no memory was found in time, or never after {@link #cancel}.
 * Used on the event loop of the forwarding role only.
 */
public final class QueuedMemoryRequest {

    final MemoryRequest request;
    final long arrivalNanos;
    private final long expiryNanos;
    private final Consumer<@Nullable MemoryReservation> listener;
    private final BiConsumer<QueuedMemoryRequest, Outcome> onDone;
    private Runnable stopTimer = () -> {};
    private boolean isDone;

    QueuedMemoryRequest(
            MemoryRequest request,
            long arrivalNanos,
            long expiryNanos,
            Consumer<@Nullable MemoryReservation> listener,
            BiConsumer<QueuedMemoryRequest, Outcome> onDone) {
        this.request = request;
        this.arrivalNanos = arrivalNanos;
        this.expiryNanos = expiryNanos;
        this.listener = listener;
        this.onDone = onDone;
    }

    /** Sets the action that stops the timer of the wait. */
    void setTimer(Runnable stop) {
        stopTimer = stop;
    }

    long expiryNanos() {
        return expiryNanos;
    }

    /** Returns whether the wait time will have expired after the given time. */
    boolean isExpiredIn(long nanos, long nowNanos) {
        return nanos > expiryNanos - nowNanos;
    }

    boolean isDone() {
        return isDone;
    }

    void complete(MemoryReservation reservation) {
        if (end(Outcome.SERVED)) {
            listener.accept(reservation);
        }
    }

    void refuse(Outcome outcome) {
        if (end(outcome)) {
            listener.accept(null);
        }
    }

    /** Cancels the request; the listener is not called any more. */
    public void cancel() {
        end(Outcome.CANCELLED);
    }

    private boolean end(Outcome outcome) {
        if (isDone) {
            return false;
        }
        isDone = true;
        stopTimer.run();
        onDone.accept(this, outcome);
        return true;
    }
}
