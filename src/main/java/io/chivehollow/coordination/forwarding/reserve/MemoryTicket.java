package io.chivehollow.coordination.forwarding.reserve;

import java.util.function.Consumer;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * A request's place in the queue for memory.
 *
 * <p>Invariant: the listener is called once, with null if no memory was found in time, or never after
 * {@link #cancel}. Used on the event loop of the forwarding role only.
 */
public final class MemoryTicket {

    final MemoryDemand demand;
    private final Consumer<@Nullable MemoryReservation> listener;
    private @Nullable ScheduledFuture<?> timer;
    private boolean isDone;

    MemoryTicket(MemoryDemand demand, Consumer<@Nullable MemoryReservation> listener) {
        this.demand = demand;
        this.listener = listener;
    }

    void setTimer(ScheduledFuture<?> started) {
        timer = started;
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

    /** Gives the place up. */
    public void cancel() {
        isDone = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
