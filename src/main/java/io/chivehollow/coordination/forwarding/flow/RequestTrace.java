package io.chivehollow.coordination.forwarding.flow;

import java.util.function.LongSupplier;

import org.jboss.logging.Logger;

/**
 * Collects what was decided about one request and writes it as one line when the request ends.
 *
 * <p>One line for each request, whatever happens to it, bounds the volume of the log by the number of requests. Used on
 * the event loop of the forwarding role only.
 */
final class RequestTrace {

    private static final Logger LOG = Logger.getLogger("io.chivehollow.request");
    private static final long NANOS_TO_MS = 1_000_000;

    /** Bounds the line of a request that is repeated. */
    private static final int MAX_CHARS = 1_500;

    private final ForwardRequest request;
    private final LongSupplier nanoTime;
    private final StringBuilder steps = new StringBuilder();
    private boolean hasOutput;
    private long lastOutputNanos;
    private long longestPauseNanos;
    private long longestPauseEndMs;

    RequestTrace(ForwardRequest request, LongSupplier nanoTime) {
        this.request = request;
        this.nanoTime = nanoTime;
    }

    void onAdmitted(Admission.Admitted admitted) {
        note("route " + admitted.route().getId() + " revision " + admitted.revision() + " service "
                + admitted.service() + " team "
                + (admitted.access() == null ? "none" : admitted.access().getTeam()) + " tokens "
                + request.fields().promptTokens() + "+" + request.fields().maxOutputTokens() + " expected "
                + request.fields().expectedOutputTokens());
    }

    void onSend(String backend, boolean isPrefill) {
        note(sinceArrivalMs() + (isPrefill ? " ms prefill at " : " ms run at ") + backend);
    }

    void onOutcome(String outcome) {
        note(sinceArrivalMs() + " ms " + outcome);
    }

    /** Records that a part of the answer was passed on; the first one and the longest pause are written. */
    void onOutput() {
        long now = nanoTime.getAsLong();
        if (!hasOutput) {
            hasOutput = true;
            note(sinceArrivalMs() + " ms first output");
        } else if (now - lastOutputNanos > longestPauseNanos) {
            longestPauseNanos = now - lastOutputNanos;
            longestPauseEndMs = sinceArrivalMs();
        }
        lastOutputNanos = now;
    }

    void note(String step) {
        if (steps.length() < MAX_CHARS) {
            steps.append(steps.length() == 0 ? "" : "; ").append(step);
        }
    }

    private long sinceArrivalMs() {
        return (nanoTime.getAsLong() - request.arrivalNanos()) / NANOS_TO_MS;
    }

    void write(String outcome, long totalNanos) {
        if (longestPauseNanos > 0) {
            note("longest pause " + longestPauseNanos / NANOS_TO_MS + " ms, until " + longestPauseEndMs + " ms");
        }
        LOG.infof(
                "request_id=%s outcome=%s total_ms=%d steps=[%s]",
                request.fields().requestId(), outcome, totalNanos / NANOS_TO_MS, steps);
    }
}
