package io.chivehollow.coordination.forwarding.reserve;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Serves requests that can still meet their target before those that cannot, each group in the order of arrival.
 *
 * <p>The requests of other processes are not visible here. A request that has missed its target therefore first
 * reserves {@link #LATE_MEMORY_FACTOR} times its memory and proceeds only where so much is free. Used on the event loop
 * of the forwarding role only.
 */
final class ArrivalLine implements WaitingLine {

    /**
     * Multiple of its own memory that must be free before a late request is served.
     *
     * <p>Without this factor a quarter of the responses in bursts were late ones, and each took the memory of a request
     * that could still be on time.
     */
    private static final int LATE_MEMORY_FACTOR = 2;

    /**
     * Pause in milliseconds after all backend servers have refused; at full load a request ends at one of them about
     * every 50 ms.
     */
    private static final int PAUSE_MS = 25;

    private final Deque<QueuedMemoryRequest> onTime = new ArrayDeque<>();
    private final Deque<QueuedMemoryRequest> late = new ArrayDeque<>();

    @Override
    public void add(QueuedMemoryRequest queued, long nowNanos) {
        queueFor(queued).addLast(queued);
    }

    @Override
    public List<QueuedMemoryRequest> candidates(long nowNanos) {
        if (!onTime.isEmpty()) {
            return List.of(onTime.getFirst());
        }
        return late.isEmpty() ? List.of() : List.of(late.getFirst());
    }

    @Override
    public long requiredTokens(QueuedMemoryRequest queued, long nowNanos) {
        return queued.request.tokens() * (queued.request.isLate() ? LATE_MEMORY_FACTOR : 1);
    }

    @Override
    public List<QueuedMemoryRequest> hopeless(long nowNanos) {
        return List.of();
    }

    @Override
    public int countBefore(QueuedMemoryRequest queued, long nowNanos) {
        return Math.max(0, new ArrayList<>(untried()).indexOf(queued));
    }

    @Override
    public long drainNanos(long nowNanos) {
        return 0;
    }

    @Override
    public long pauseMs(long nowNanos) {
        return PAUSE_MS;
    }

    @Override
    public void onUnplaced(QueuedMemoryRequest queued, long nowNanos) {
        // The request remains the first one.
    }

    @Override
    public void onReleased(long nowNanos) {
        // The first request is tried in any case.
    }

    @Override
    public void onTried(QueuedMemoryRequest queued, long nowNanos) {
        queueFor(queued).remove(queued);
    }

    @Override
    public void onReturned(QueuedMemoryRequest queued, long nowNanos) {
        queueFor(queued).addFirst(queued);
    }

    @Override
    public void onMemoryFull(long nowNanos) {
        // The order does not depend on it.
    }

    @Override
    public void onDone(QueuedMemoryRequest queued, boolean isServed, long nowNanos) {
        queueFor(queued).remove(queued);
    }

    @Override
    public Collection<QueuedMemoryRequest> untried() {
        List<QueuedMemoryRequest> all = new ArrayList<>(onTime);
        all.addAll(late);
        return all;
    }

    private Deque<QueuedMemoryRequest> queueFor(QueuedMemoryRequest queued) {
        return queued.request.isLate() ? late : onTime;
    }
}
