package io.chivehollow.coordination.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.openai.Json;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;

/**
 * The HTTP API for operators.
 *
 * <p>Invariant: no operation starts before the operator key has been checked; it is compared in constant time.
 * Thread-safe.
 */
@Controller("/admin/v1")
@Requires(beans = GatewayCore.class)
final class AdminController {

    private static final String BEARER = "Bearer ";

    private final GatewayCore core;
    private final AdminService service;

    AdminController(GatewayCore core) {
        this.core = core;
        this.service = new AdminService(core);
    }

    @Post(uri = "/releases", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> applyRelease(HttpRequest<byte[]> request) {
        return run(request, () -> service.applyRelease(body(request)));
    }

    @Get(uri = "/releases", produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> releases(HttpRequest<?> request) {
        return run(request, service::releases);
    }

    @Get(uri = "/state", produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> state(HttpRequest<?> request) {
        return run(request, () -> CompletableFuture.completedFuture(service.state()));
    }

    @Get(uri = "/status", produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> status(HttpRequest<?> request) {
        return run(request, service::status);
    }

    @Post(uri = "/keys", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> createKey(HttpRequest<byte[]> request) {
        return run(request, () -> service.createKey(body(request)));
    }

    @Delete(uri = "/keys/{id}", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> withdrawKey(HttpRequest<?> request, String id) {
        return run(request, () -> service.withdrawKey(id));
    }

    @Post(uri = "/domains/{id}/out", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> takeDomainOut(HttpRequest<?> request, String id) {
        return run(request, () -> service.setDomainOut(id, true, isConnected(request)));
    }

    @Post(uri = "/domains/{id}/in", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> bringDomainIn(HttpRequest<?> request, String id) {
        return run(request, () -> service.setDomainOut(id, false, isConnected(request)));
    }

    @Post(uri = "/backend-servers/{id}/drain", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> drain(HttpRequest<?> request, String id) {
        return run(request, () -> service.setDraining(id, true, isConnected(request)));
    }

    @Post(uri = "/backend-servers/{id}/undrain", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> undrain(HttpRequest<?> request, String id) {
        return run(request, () -> service.setDraining(id, false, isConnected(request)));
    }

    @Get(uri = "/replicas", produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> replicas(HttpRequest<?> request) {
        return run(request, service::replicas);
    }

    @Post(uri = "/replicas/{id}/admit", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> admitReplica(HttpRequest<?> request, String id) {
        return run(request, () -> service.changeReplicas(id, false));
    }

    @Post(uri = "/replicas/{id}/remove", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> removeReplica(HttpRequest<?> request, String id) {
        return run(request, () -> service.changeReplicas(id, true));
    }

    @Post(uri = "/backend-servers/{id}/commands", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> command(HttpRequest<byte[]> request, String id) {
        return run(request, () -> service.command(id, body(request)));
    }

    private static BooleanSupplier isConnected(HttpRequest<?> request) {
        return HttpExchange.channel(request)::isActive;
    }

    private static byte[] body(HttpRequest<byte[]> request) {
        return request.getBody().orElse(new byte[0]);
    }

    private CompletableFuture<HttpResponse<?>> run(
            HttpRequest<?> request, Supplier<CompletableFuture<ObjectNode>> action) {
        try {
            checkOperatorKey(request);
            return action.get().handle((response, failure) -> {
                if (failure != null) {
                    return failureResponse(Failures.unwrap(failure));
                }
                return HttpResponse.ok(Json.toBytes(response)).contentType(MediaType.APPLICATION_JSON_TYPE);
            });
        } catch (ChivehollowException e) {
            return CompletableFuture.completedFuture(failureResponse(e));
        }
    }

    private void checkOperatorKey(HttpRequest<?> request) {
        String authorization = request.getHeaders().get(HttpHeaders.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            throw Failures.of(
                    ErrorCode.MISSING_KEY,
                    "The operator key is missing; send it in the header Authorization as \"Bearer <key>\"",
                    true);
        }
        byte[] presented = authorization.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(presented, core.gatewaySettings().operatorKey())) {
            throw Failures.of(ErrorCode.INVALID_KEY, "The operator key is not valid", true);
        }
    }

    private HttpResponse<?> failureResponse(ChivehollowException failure) {
        ObjectNode root = Json.object();
        ObjectNode error = root.putObject("error")
                .put("code", failure.code().wireName())
                .put("message", String.valueOf(failure.getMessage()))
                .put("not_run", failure.isNotRun())
                .put("request_id", core.newRequestId().value());
        if (failure instanceof AdminException adminFailure) {
            ArrayNode faults = error.putArray("faults");
            adminFailure.faults().forEach(faults::add);
        }
        return HttpResponse.status(failure.code().httpStatus(), failure.code().wireName())
                .body(Json.toBytes(root))
                .contentType(MediaType.APPLICATION_JSON_TYPE);
    }
}
