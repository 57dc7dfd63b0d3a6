package io.chivehollow.coordination.gateway;

import java.util.Map;

import io.chivehollow.base.ChivehollowException;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Logs the outcome of requests with structured fields.
 *
 * <p>Stateless and thread-safe. Neither prompts nor keys are passed to this class.
 */
final class RequestLog {

    private static final Logger LOG = Logger.getLogger("io.chivehollow.request");

    private static final String REQUEST_ID = "request_id";
    private static final String TEAM = "team";
    private static final String ELAPSED_MS = "elapsed_ms";

    private RequestLog() {}

    static void completed(RequestContext context, long elapsedMs) {
        withFields(
                Map.of(REQUEST_ID, context.id().value(), TEAM, context.team().value(), ELAPSED_MS, elapsedMs),
                () -> LOG.debug("Request completed"));
    }

    static void failed(RequestContext context, ChivehollowException failure, long elapsedMs) {
        withFields(
                Map.of(
                        REQUEST_ID,
                        context.id().value(),
                        TEAM,
                        context.team().value(),
                        ELAPSED_MS,
                        elapsedMs,
                        "code",
                        failure.code().wireName(),
                        "not_run",
                        failure.isNotRun()),
                () -> LOG.info("Request failed"));
    }

    private static void withFields(Map<String, Object> fields, Runnable log) {
        fields.forEach((name, value) -> MDC.put(name, String.valueOf(value)));
        try {
            log.run();
        } finally {
            fields.keySet().forEach(MDC::remove);
        }
    }
}
