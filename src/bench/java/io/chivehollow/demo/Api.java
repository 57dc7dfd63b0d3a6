package io.chivehollow.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client that sends requests as callers and operators do.
 *
 * <p>Thread-safe.
 */
public final class Api {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final JsonMapper MAPPER = new JsonMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    /**
     * A response whose body has been received completely.
     *
     * @param status HTTP status
     * @param body body as text; the concatenated events if the response is streamed
     */
    public record Response(int status, String body) {

        /** Returns the body as JSON, or a missing node if it is not JSON. */
        public JsonNode json() {
            return parse(body);
        }

        /** Returns the error code of an error body, or an empty string. */
        public String errorCode() {
            return json().path("error").path("code").asText("");
        }

        /** Returns code and message of an error body, or an empty string. */
        public String errorMessage() {
            JsonNode error = json().path("error");
            return error.isMissingNode()
                    ? ""
                    : errorCode() + ": " + error.path("message").asText();
        }

        /** Returns the data of the server-sent events in the body, in order. */
        public List<String> events() {
            return body.lines()
                    .filter(line -> line.startsWith("data:"))
                    .map(line -> line.substring("data:".length()).strip())
                    .toList();
        }
    }

    /**
     * Sends a request and returns the response.
     *
     * @param body JSON body; null for a request without a body
     * @param headers names and values of headers, alternating
     * @throws IOException if the connection fails, the request times out or the thread is interrupted
     */
    public Response send(String method, String url, @Nullable String body, String... headers) throws IOException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT);
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        request.method(method, publisher);
        if (body != null) {
            request.header("Content-Type", "application/json");
        }
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("Interrupted while waiting for the response", e);
        }
    }

    /** Returns the text as JSON, or a missing node if it is not JSON. */
    static JsonNode parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null ? MAPPER.missingNode() : node;
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }
}
