package io.chivehollow.coordination.gateway;

import java.net.URI;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.config.ApiKeys.CheckedKey;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.state.machine.IdempotencyKey;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Head;
import io.micronaut.http.annotation.Options;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;

/**
 * Serves the routes to ordinary services: every path that no other controller serves.
 *
 * <p>Thread-safe.
 */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(beans = GatewayCore.class)
final class PlainController {

    private static final String ANY_PATH = "/{+path}";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Paths of other controllers; a request for one of them reaches this controller only if its method is wrong. */
    private static final Set<String> RESERVED_PATHS =
            Set.of("/v1/completions", "/v1/chat/completions", "/v1/models", "/healthz", "/readyz", "/metrics");

    /**
     * Matches paths with dot segments, encoded or not, doubled or encoded separators, backslashes or an encoded NUL. A
     * service could interpret such a path as another one than the path whose route was checked.
     */
    private static final Pattern AMBIGUOUS_PATH =
            Pattern.compile("(?i).*(/(\\.|%2e){1,2}(/|$)|//|\\\\|%2f|%5c|%00).*", Pattern.DOTALL);

    private final GatewayCore core;
    private final RequestRunner runner;

    PlainController(GatewayCore core) {
        this.core = core;
        this.runner = new RequestRunner(core);
    }

    @Get(ANY_PATH)
    CompletableFuture<HttpResponse<?>> get(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Head(ANY_PATH)
    CompletableFuture<HttpResponse<?>> head(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Post(ANY_PATH)
    CompletableFuture<HttpResponse<?>> post(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Put(ANY_PATH)
    CompletableFuture<HttpResponse<?>> put(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Patch(ANY_PATH)
    CompletableFuture<HttpResponse<?>> patch(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Delete(ANY_PATH)
    CompletableFuture<HttpResponse<?>> delete(HttpRequest<byte[]> request) {
        return handle(request);
    }

    @Options(ANY_PATH)
    CompletableFuture<HttpResponse<?>> options(HttpRequest<byte[]> request) {
        return handle(request);
    }

    private CompletableFuture<HttpResponse<?>> handle(HttpRequest<byte[]> http) {
        return runner.run(http, exchange -> {
            String path = path(http);
            Route route = route(path);
            CheckedKey key = route.getOpen() ? null : exchange.authenticate();
            exchange.onAuthenticated(key);
            String idempotencyKey = route.getIdempotent() ? null : idempotencyKey(http);
            PlainRequest request = new PlainRequest(
                    http.getMethodName(),
                    pathWithQuery(path, http.getUri()),
                    PlainHeaders.ofRequest(http.getHeaders(), core.isEnabled(GatewaySafeguard.CREDENTIAL_FILTER)),
                    http.getBody().map(ByteString::copyFrom).orElse(ByteString.EMPTY));
            PlainResponder responder = new PlainResponder(exchange);
            new PlainFlow(
                            core,
                            core.newContext(exchange.id(), key, RequestClass.PLAIN, exchange.cancellation()),
                            route,
                            request,
                            idempotencyKey,
                            responder)
                    .start();
            return responder.response();
        });
    }

    private static String path(HttpRequest<?> http) {
        String path = http.getUri().getRawPath();
        if (path == null || AMBIGUOUS_PATH.matcher(path).matches()) {
            throw CoordinationException.notRun(
                    ErrorCode.INVALID_REQUEST,
                    "The path is missing, or it has dot segments, doubled or encoded separators, or backslashes");
        }
        return path;
    }

    private Route route(String path) {
        if (RESERVED_PATHS.contains(path) || path.startsWith("/admin/")) {
            throw CoordinationException.notRun(
                    ErrorCode.METHOD_NOT_ALLOWED, "This path does not support the method of the request");
        }
        return core.configuration()
                .route(path)
                .orElseThrow(() ->
                        CoordinationException.notRun(ErrorCode.ROUTE_NOT_FOUND, "There is no route for this path"));
    }

    private static String pathWithQuery(String path, URI uri) {
        return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
    }

    private static String idempotencyKey(HttpRequest<?> http) {
        Optional<IdempotencyKey> key = Optional.ofNullable(http.getHeaders().get(IDEMPOTENCY_KEY_HEADER))
                .flatMap(IdempotencyKey::parse);
        return key.map(IdempotencyKey::text)
                .orElseThrow(() -> CoordinationException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_INVALID,
                        "This route requires the header Idempotency-Key with a UUID of version 7"));
    }
}
