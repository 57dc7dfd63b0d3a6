package io.chivehollow.coordination.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.coordination.config.ApiKeys.CheckedKey;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.protocol.openai.GenerationKind;
import io.chivehollow.protocol.openai.GenerationRequest;
import io.chivehollow.protocol.openai.GenerationWriter;
import io.chivehollow.protocol.openai.ModelList;
import io.chivehollow.protocol.openai.RequestParser;
import io.chivehollow.protocol.wire.Model;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;

/**
 * Serves the generation requests of the OpenAI protocol.
 *
 * <p>Thread-safe.
 */
@Controller
@Requires(beans = GatewayCore.class)
final class OpenAiController {

    private final GatewayCore core;
    private final RequestRunner runner;

    OpenAiController(GatewayCore core) {
        this.core = core;
        this.runner = new RequestRunner(core);
    }

    @Post(uri = "/v1/completions", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> complete(HttpRequest<byte[]> request) {
        return generate(GenerationKind.COMPLETION, request);
    }

    @Post(uri = "/v1/chat/completions", consumes = MediaType.ALL, produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> chat(HttpRequest<byte[]> request) {
        return generate(GenerationKind.CHAT, request);
    }

    private CompletableFuture<HttpResponse<?>> generate(GenerationKind kind, HttpRequest<byte[]> http) {
        return runner.run(http, exchange -> {
            CheckedKey key = exchange.authenticate();
            exchange.onAuthenticated(key);
            GenerationRequest request = RequestParser.parse(kind, http.getBody().orElse(new byte[0]));
            GenerationCost cost = GenerationCost.of(request, core.configuration());
            RequestClass requestClass = request.batch() ? RequestClass.BATCH : RequestClass.INTERACTIVE;
            RequestContext context = core.newContext(exchange.id(), key, requestClass, exchange.cancellation());
            GenerationWriter writer = GenerationWriter.create(
                    request, exchange.id().value(), core.clock().currentTimeMs() / 1_000);
            GenerationResponder responder = GenerationResponder.create(exchange, request, writer);
            new GenerationFlow(core, context, request, cost, responder).start();
            return responder.response();
        });
    }

    @Get(uri = "/v1/models", produces = MediaType.ALL)
    CompletableFuture<HttpResponse<?>> models(HttpRequest<?> http) {
        return runner.run(http, exchange -> {
            exchange.onAuthenticated(exchange.authenticate());
            List<String> models =
                    core.configuration().models().stream().map(Model::getId).toList();
            exchange.close();
            return CompletableFuture.completedFuture(
                    exchange.successResponse(ModelList.of(models), MediaType.APPLICATION_JSON_TYPE, Map.of()));
        });
    }
}
