package io.chivehollow.coordination.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import org.jboss.logging.Logger;

/**
 * Runs the handler of a request and converts exceptions that it throws to error responses.
 *
 * <p>Thread-safe.
 */
final class RequestRunner {

    private static final Logger LOG = Logger.getLogger(RequestRunner.class);

    private final GatewayCore core;

    RequestRunner(GatewayCore core) {
        this.core = core;
    }

    /** Runs the handler unless the gateway is shutting down. */
    CompletableFuture<HttpResponse<?>> run(
            HttpRequest<?> request, Function<HttpExchange, CompletableFuture<HttpResponse<?>>> handler) {
        HttpExchange exchange = HttpExchange.open(core, request);
        try {
            core.checkAccepting();
            return handler.apply(exchange);
        } catch (ChivehollowException e) {
            return CompletableFuture.completedFuture(refuse(exchange, e));
        } catch (RuntimeException e) {
            LOG.error("Request failed with an unexpected error", e);
            ChivehollowException failure = Failures.of(ErrorCode.INTERNAL, "Internal error", false);
            return CompletableFuture.completedFuture(refuse(exchange, failure));
        }
    }

    private HttpResponse<?> refuse(HttpExchange exchange, ChivehollowException failure) {
        core.metrics().countFailed(exchange.team(), failure.code(), failure.isNotRun());
        exchange.close();
        return exchange.failureResponse(failure);
    }
}
