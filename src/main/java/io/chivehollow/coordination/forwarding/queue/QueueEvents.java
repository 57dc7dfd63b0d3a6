package io.chivehollow.coordination.forwarding.queue;

/**
 * Receives what happens to the waiting requests of each rank.
 *
 * <p>Called on the event loop of the forwarding role only.
 */
public interface QueueEvents {

    /** The reason for which a request stopped waiting. */
    enum Outcome {
        /** A server had capacity for it. */
        SERVED,
        /** Its time has expired. */
        EXPIRED,
        /** It was refused at once, because the requests before it take more time than it has. */
        HOPELESS,
        /** No server accepts work before its time expires. */
        UNAVAILABLE,
        /** Its caller has left, or it has ended for another reason. */
        CANCELLED
    }

    /** Called when a request begins to wait. */
    void onWaiting(int rank);

    /** Called once when a request stops waiting, with the time that it has waited. */
    void onWaitEnded(int rank, Outcome outcome, long waitedNanos);

    /** Returns a receiver that ignores everything. */
    static QueueEvents none() {
        return new QueueEvents() {
            @Override
            public void onWaiting(int rank) {
                // ignored
            }

            @Override
            public void onWaitEnded(int rank, Outcome outcome, long waitedNanos) {
                // ignored
            }
        };
    }
}
