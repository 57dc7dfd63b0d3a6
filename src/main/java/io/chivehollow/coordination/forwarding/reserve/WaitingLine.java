package io.chivehollow.coordination.forwarding.reserve;

import java.util.Collection;
import java.util.List;

/**
 * The waiting requests of one service, in the order in which they are served.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
interface WaitingLine {

    /** Adds a request at its arrival. */
    void add(QueuedMemoryRequest queued, long nowNanos);

    /** Returns the requests that may be tried now, the first one first. */
    List<QueuedMemoryRequest> candidates(long nowNanos);

    /** Returns the memory in tokens that must be free where the request runs. */
    long requiredTokens(QueuedMemoryRequest queued, long nowNanos);

    /** Returns the requests that cannot be served before they expire, because of those before them. */
    List<QueuedMemoryRequest> hopeless(long nowNanos);

    /** Returns the number of waiting requests that are served before the request. */
    int countBefore(QueuedMemoryRequest queued, long nowNanos);

    /** Returns the expected time in nanoseconds until the present requests are served, 0 if it is not known. */
    long drainNanos(long nowNanos);

    /** Returns the pause in milliseconds after all backend servers have refused. */
    long pauseMs(long nowNanos);

    /** Records that no backend server may have memory for the request now. */
    void onUnplaced(QueuedMemoryRequest queued, long nowNanos);

    /** Records that memory was released. */
    void onReleased(long nowNanos);

    /** Records that the request is being tried, and is not a candidate meanwhile. */
    void onTried(QueuedMemoryRequest queued, long nowNanos);

    /** Records that an attempt has ended and the request waits again, before those that arrived after it. */
    void onReturned(QueuedMemoryRequest queued, long nowNanos);

    /** Records that a backend server had no memory. */
    void onMemoryFull(long nowNanos);

    /** Removes a request that is done. */
    void onDone(QueuedMemoryRequest queued, boolean isServed, long nowNanos);

    /** Returns the requests that wait and are not being tried. */
    Collection<QueuedMemoryRequest> untried();
}
