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
 *   <tr><td>content (JSON)</td><td>any</td><td>in order</td><td>complete if its receiver can parse it</td></tr>
 *   <tr><td>connection</td><td>any</td><td>in order</td><td>complete if its run is alive afterwards</td></tr>
 *   <tr><td>any</td><td>any</td><td>reset, failed write, closed here</td><td>incomplete</td></tr>
 * </table>
 *
 * <p>A stream is also incomplete if it ends within an event, and, if the connection marks its end, if the run has sent
 * no event. The state of the server in the platform's list (ready, draining, leaving, removed, replaced at its address)
 * changes none of this: a server of each state can end a response in order or in the middle. {@link RunWitness} tells
 * whether the run is alive. A run that ends such a response too early and lives on cannot be told from one that has
 * completed it.
 *
 * <p>Stateless and thread-safe.
 */
public final class ResponseEnd {

    private ResponseEnd() {}

    /** What is known when no more bytes of a response can follow. */
    enum Verdict {
        COMPLETE,
        INCOMPLETE,
        /** The response is complete if the run that sent it is alive. */
        DEPENDS_ON_RUN
    }

    /**
     * Returns whether a response is complete whose last part was received.
     *
     * @param isEndStated whether a length, chunks or the head mark the end
     * @param hasConnectionFailed whether the connection ended in another way than an orderly close by the server
     * @param isEndInContent whether the receiver finds the end in the content
     */
    static Verdict of(boolean isEndStated, boolean hasConnectionFailed, boolean isEndInContent) {
        if (hasConnectionFailed) {
            return Verdict.INCOMPLETE;
        }
        return isEndStated || isEndInContent ? Verdict.COMPLETE : Verdict.DEPENDS_ON_RUN;
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
