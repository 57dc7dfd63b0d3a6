package io.chivehollow.standin;

/**
 * Options of a simulated plain service.
 *
 * <p>Immutable and thread-safe. A call may override delay and failure with the headers {@code X-Delay-Ms} and
 * {@code X-Fail}. The values of {@code X-Fail} are the names of {@link Failure}, in any case and with {@code -} or
 * {@code _}.
 *
 * @param port port on the loopback interface; 0 chooses a free port
 * @param name service name in responses
 * @param delayMs duration of a call in milliseconds
 * @param failure how calls to failing paths fail
 * @param failPath path prefix of calls that fail; empty if no call fails
 */
public record PlainServiceOptions(int port, String name, int delayMs, Failure failure, String failPath) {

    /** How a call fails. */
    public enum Failure {
        /** Responds with status 500 without running the call. */
        REFUSE,
        /** Runs the call and closes the connection without a response. */
        DROP_ANSWER,
        /** Closes the connection without running the call. */
        DROP_CALL,
        /** Runs the call and never responds. */
        HANG
    }

    /** Returns options without delay and failures, for a free port. */
    public static PlainServiceOptions defaults() {
        return new PlainServiceOptions(0, "plain", 0, Failure.REFUSE, "");
    }
}
