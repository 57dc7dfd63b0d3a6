package io.chivehollow.coordination.forwarding.reserve;

import java.util.function.Consumer;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * A request that waits in the memory queue.
 *
 * <p>Invariant: the listener is called once, with null if no memory was found in time, or never after {@link #cancel}.
 * Used on the event loop of the forwarding role only.
 */
public final class QueuedMemoryRequest {

    final MemoryRequest request;
    private final long expiryNanos;
    private final Consumer<@Nullable MemoryReservation> listener;
    private @Nullable ScheduledFuture<?> timer;
    private boolean isDone;

    QueuedMemoryRequest(MemoryRequest request, long expiryNanos, Consumer<@Nullable MemoryReservation> listener) {
        this.request = request;
        this.expiryNanos = expiryNanos;
        this.listener = listener;
    }

    void setTimer(ScheduledFuture<?> started) {
        timer = started;
    }

    /** Returns whether the wait time will have expired after the given time. */
    boolean isExpiredIn(long nanos, long nowNanos) {
        return nanos > expiryNanos - nowNanos;
    }

    boolean isDone() {
        return isDone;
    }

    void complete(@Nullable MemoryReservation reservation) {
        if (!isDone) {
            cancel();
            listener.accept(reservation);
        }
    }

    /** Cancels the request; the listener is not called any more. */
    public void cancel() {
        isDone = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
