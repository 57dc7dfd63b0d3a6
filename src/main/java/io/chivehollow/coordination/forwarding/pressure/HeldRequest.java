package io.chivehollow.coordination.forwarding.pressure;

/**
 * A request that holds bytes, as far as it matters for the choice of the request that is let go.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stage how far the request has come
 * @param priority urgency of the request, 0 is the most urgent
 * @param isRepeatable whether the request may run more than once
 * @param heldBytes bytes that are freed if the request is let go
 * @param stalledMs time in milliseconds for which the caller or the backend server has neither taken nor sent a byte of
 *     them
 */
public record HeldRequest(Stage stage, int priority, boolean isRepeatable, long heldBytes, long stalledMs) {

    /** Priority of a request whose route is not known yet. */
    public static final int UNKNOWN_PRIORITY = Integer.MAX_VALUE;

    /** How far a request has come. */
    public enum Stage {
        /** Its body is incomplete. */
        RECEIVING,
        /** No backend server can have run it. */
        WAITING,
        /** A backend server may have run it, and the caller has received nothing. */
        RUNNING,
        /** The caller has received a part of the response. */
        RESPONDING,
        /** The response is complete and waits for the caller. */
        DELIVERING
    }
}
