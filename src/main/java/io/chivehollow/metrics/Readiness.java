package io.chivehollow.metrics;

import java.util.List;

/**
 * Whether a process is ready to serve, and what restricts it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isReady whether the process is ready to serve
 * @param details conditions that operators should see, one per line of the response
 */
public record Readiness(boolean isReady, List<String> details) {

    public Readiness {
        details = List.copyOf(details);
    }

    /** Returns the body of a readiness response. */
    String toText() {
        StringBuilder text = new StringBuilder(isReady ? "ready\n" : "not ready\n");
        details.forEach(detail -> text.append(detail).append('\n'));
        return text.toString();
    }
}
