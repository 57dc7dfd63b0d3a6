package io.chivehollow.coordination.forwarding.flow;

import java.util.function.LongSupplier;

import org.jboss.logging.Logger;

/**
 * Collects the processing steps of one request and logs them as one line when the request ends.
 *
 * <p>One line per request, whatever its outcome, bounds the log volume by the number of requests. Used on the event
 * loop of the forwarding role only.
 */
final class RequestTrace {

    private static final Logger LOG = Logger.getLogger("io.chivehollow.request");
    private static final long NANOS_TO_MS = 1_000_000;

    /** Limits the line of a request that is retried. */
    private static final int MAX_CHARS = 1_500;

    private final ForwardRequest request;
    private final LongSupplier nanoTime;
    private final StringBuilder steps = new StringBuilder();
    private boolean hasHead;
    private boolean hasOutput;
    private long lastOutputNanos;
    private long longestPauseNanos;
    private long longestPauseEndMs;

    RequestTrace(ForwardRequest request, LongSupplier nanoTime) {
        this.request = request;
        this.nanoTime = nanoTime;
    }

    /** Returns the size of the request's body in bytes. */
    int requestBytes() {
        return request.body().length;
    }

    void onAdmitted(Admission.AdmittedRequest admitted) {
        addStep("route " + admitted.route().getId() + " revision " + admitted.revision() + " service "
                + admitted.service() + " team " + admitted.teamName() + " tokens "
                + request.fields().promptTokens() + "+" + request.fields().maxOutputTokens() + " expected "
                + request.fields().expectedOutputTokens());
        if (!request.fields().promptParts().isEmpty()) {
            addStep("parts " + String.join(",", request.fields().promptParts()));
        }
        if (!request.canTakeChunks()) {
            addStep("caller without chunks");
        }
    }

    /** Records the head of a response if its framing does not mark its end, or if it is not the first one. */
    void onHead(int status, boolean isFramingStated) {
        if (!isFramingStated || hasHead) {
            addTimedStep("head " + status + (isFramingStated ? "" : ", ends with its connection"));
        }
        hasHead = true;
    }

    void onSend(String backend, boolean isPrefill) {
        addStep(sinceArrivalMs() + (isPrefill ? " ms prefill at " : " ms run at ") + backend);
    }

    void addTimedStep(String step) {
        addStep(sinceArrivalMs() + " ms " + step);
    }

    /**
     * Records that a part of the response was passed on. The time of the first part and the longest pause between two
     * parts are logged.
     */
    void onOutput() {
        long now = nanoTime.getAsLong();
        if (!hasOutput) {
            hasOutput = true;
            addStep(sinceArrivalMs() + " ms first output");
        } else if (now - lastOutputNanos > longestPauseNanos) {
            longestPauseNanos = now - lastOutputNanos;
            longestPauseEndMs = sinceArrivalMs();
        }
        lastOutputNanos = now;
    }

    void addStep(String step) {
        if (steps.length() < MAX_CHARS) {
            steps.append(steps.length() == 0 ? "" : "; ").append(step);
        }
    }

    private long sinceArrivalMs() {
        return (nanoTime.getAsLong() - request.arrivalNanos()) / NANOS_TO_MS;
    }

    void write(String outcome, long totalNanos) {
        if (longestPauseNanos > 0) {
            addStep("longest pause " + longestPauseNanos / NANOS_TO_MS + " ms, until " + longestPauseEndMs + " ms");
        }
        LOG.infof(
                "request_id=%s outcome=%s total_ms=%d steps=[%s]",
                request.fields().requestId(), outcome, totalNanos / NANOS_TO_MS, steps);
    }
}
