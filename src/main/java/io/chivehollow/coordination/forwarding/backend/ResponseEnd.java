package io.chivehollow.coordination.forwarding.backend;

/**
 * Decides whether a response is complete.
 *
 * <table>
 *   <caption>Responses of all kinds</caption>
 *   <tr><th>end marked by</th><th>server in the list</th><th>how the connection ended</th><th>response</th></tr>
 *   <tr><td>length, chunks</td><td>any</td><td>after the last byte, or not</td><td>complete</td></tr>
 *   <tr><td>length, chunks</td><td>any</td><td>before the last byte</td><td>incomplete</td></tr>
 *   <tr><td>head (no body)</td><td>any</td><td>after the head, or not</td><td>complete</td></tr>
 *   <tr><td>head (body unused)</td><td>any</td><td>in order</td><td>complete</td></tr>
 *   <tr><td>content (JSON)</td><td>any</td><td>in order</td><td>complete if its receiver can parse it and, for a
 *     request of a caller, the server has read the whole request</td></tr>
 *   <tr><td>connection</td><td>any</td><td>in order</td><td>complete if the server has read the whole request and its
 *     run is alive afterwards</td></tr>
 *   <tr><td>any</td><td>any</td><td>reset, failed write, closed here</td><td>incomplete</td></tr>
 * </table>
 *
 * <p>A stream is also incomplete if it ends within an event, and, if the connection marks its end, if the run has sent
 * no event. The state of the server in the platform's list (ready, draining, leaving, removed, replaced at its address)
 * changes none of this: a server of each state can end a response in order or in the middle.
 *
 * <p>A response whose end is not stated is incomplete if it ends before the request is written.
 * {@link io.chivehollow.protocol.RequestReadCheck} tells whether the server has read what was written, and
 * {@link RunWitness} whether the run is alive. A run that has read the request, ends such a response too early and
 * lives on cannot be told from one that has completed it.
 *
 * <p>Stateless and thread-safe.
 */
public final class ResponseEnd {

    private ResponseEnd() {}

    /** What is known when no more bytes of a response can follow. */
    enum Verdict {
        COMPLETE,
        INCOMPLETE,
        /** The response is complete if the server has read the request. */
        DEPENDS_ON_READ,
        /** The response is complete if the run that sent it has read the request and is alive. */
        DEPENDS_ON_RUN
    }

    /**
     * Returns whether a response is complete whose last part was received.
     *
     * @param isEndStated whether a length, chunks or the head mark the end
     * @param hasConnectionFailed whether the connection ended in another way than an orderly close by the server
     * @param isRequestWritten whether the whole request was written before
     * @param listener receiver of the response
     */
    static Verdict of(
            boolean isEndStated, boolean hasConnectionFailed, boolean isRequestWritten, BackendListener listener) {
        if (hasConnectionFailed) {
            return Verdict.INCOMPLETE;
        }
        if (isEndStated || listener.isHeadEnough()) {
            return Verdict.COMPLETE;
        }
        if (!isRequestWritten) {
            return Verdict.INCOMPLETE;
        }
        return listener.isEndInContent() ? Verdict.DEPENDS_ON_READ : Verdict.DEPENDS_ON_RUN;
    }

    /**
     * Returns whether a stream may end here; further conditions depend on its framing.
     *
     * @param isEndStated whether a length or chunks mark the end
     * @param hasPartialEvent whether the last event is incomplete
     * @param hasEventOfRun whether the run has sent an event; comments do not count
     */
    public static boolean isEndOfStream(boolean isEndStated, boolean hasPartialEvent, boolean hasEventOfRun) {
        return !hasPartialEvent && (isEndStated || hasEventOfRun);
    }
}
