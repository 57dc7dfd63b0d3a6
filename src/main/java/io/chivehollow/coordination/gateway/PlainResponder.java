package io.chivehollow.coordination.gateway;

import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Header;
import io.chivehollow.protocol.wire.PlainResult;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;

/**
 * Converts the outcome of a plain call to an HTTP response.
 *
 * <p>Thread-safe.
 */
final class PlainResponder implements PlainListener {

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private final HttpExchange exchange;
    private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

    PlainResponder(HttpExchange exchange) {
        this.exchange = exchange;
    }

    CompletableFuture<HttpResponse<?>> response() {
        return response;
    }

    @Override
    public void onResult(PlainResult result) {
        int status = result.getStatus();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            onFailed(Failures.of(
                    ErrorCode.BACKEND_FAILED,
                    "The backend server sent an HTTP status that is not between 200 and 599",
                    false));
            return;
        }
        exchange.close();
        MutableHttpResponse<byte[]> httpResponse = HttpResponse.status(status, "");
        for (Header header : PlainHeaders.ofResponse(result.getHeadersList())) {
            httpResponse.getHeaders().add(header.getName(), header.getValue());
        }
        exchange.addHeaders(httpResponse);
        if (!result.getBody().isEmpty()) {
            httpResponse.body(result.getBody().toByteArray());
        }
        response.complete(httpResponse);
    }

    @Override
    public void onFailed(ChivehollowException failure) {
        exchange.close();
        response.complete(exchange.failureResponse(failure));
    }
}
