package io.chivehollow.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Claims the KV cache of a prefill at the engine that retains it, and reports the end of the transfer to that engine.
 *
 * <p>Thread-safe. No KV cache is sent; the importing engine waits for the duration that the transfer would take.
 */
final class KvImporter {

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Returns the size of the KV cache in bytes; the future fails if the prefill result has expired. */
    CompletableFuture<Long> claim(JsonNode source) {
        return post(source, "/standin/kv/claim")
                .thenApply(response -> response.path("kv_bytes").asLong());
    }

    /** Reports the end of the transfer; the future fails if the prefill result expired during the transfer. */
    CompletableFuture<JsonNode> finish(JsonNode source) {
        return post(source, "/standin/kv/finish");
    }

    private CompletableFuture<JsonNode> post(JsonNode source, String path) {
        URI uri = URI.create("http://" + source.path("remote_host").asText() + ":"
                + source.path("remote_port").asInt() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(source.toString()))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .thenCompose(response -> response.statusCode() == 200
                        ? CompletableFuture.completedFuture(StandInJson.read(response.body()))
                        : CompletableFuture.failedFuture(new IOException(
                                "engine returned status " + response.statusCode() + " instead of 200 for " + path)));
    }
}
