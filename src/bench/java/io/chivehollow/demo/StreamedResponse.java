package io.chivehollow.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One streamed completion; a thread of its own reads the events.
 *
 * <p>Thread-safe.
 */
final class StreamedResponse {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final int maxTokens;
    private final List<String> lines = new ArrayList<>();
    private int status;
    private boolean isEnded;

    private StreamedResponse(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Sends a request for a stream of {@code maxTokens} tokens to the gateway with the URL. */
    static StreamedResponse open(String gatewayUrl, String key, String prompt, int maxTokens) {
        StreamedResponse response = new StreamedResponse(maxTokens);
        String body = "{\"model\": \"%s\", \"prompt\": \"%s\", \"max_tokens\": %d, \"stream\": true,"
                        .formatted(DemoRelease.MODEL, prompt, maxTokens)
                + " \"stream_options\": {\"include_usage\": true}}";
        HttpRequest request = HttpRequest.newBuilder(URI.create(gatewayUrl + "/v1/completions"))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        Thread thread = new Thread(() -> response.read(request), "stream");
        thread.setDaemon(true);
        thread.start();
        return response;
    }

    private void read(HttpRequest request) {
        try {
            HttpResponse<Stream<String>> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofLines());
            synchronized (this) {
                status = response.statusCode();
            }
            response.body().forEach(this::add);
        } catch (IOException | UncheckedIOException e) {
            // A lost connection ends the stream like any other end; the lines read so far determine the result.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            synchronized (this) {
                isEnded = true;
            }
        }
    }

    private synchronized void add(String line) {
        if (!line.isBlank()) {
            lines.add(line);
        }
    }

    private Api.Response toResponse() {
        return new Api.Response(status, String.join("\n", lines));
    }

    /** Returns whether the first event was received and the stream has not ended. */
    synchronized boolean isOpen() {
        return status == 200 && !isEnded && !lines.isEmpty() && !hasDoneEvent();
    }

    /** Returns whether the response has ended, completely or not. */
    synchronized boolean isEnded() {
        return isEnded;
    }

    /** Returns whether the last event is {@code [DONE]}. */
    synchronized boolean hasDoneEvent() {
        List<String> events = toResponse().events();
        return !events.isEmpty() && events.get(events.size() - 1).equals("[DONE]");
    }

    /** Returns whether the stream ended with {@code [DONE]} and has all tokens. */
    synchronized boolean isComplete() {
        return status == 200 && hasDoneEvent() && tokens() == maxTokens;
    }

    /** Returns whether the last event is an error, or the response as a whole is an error response. */
    synchronized boolean endsWithError() {
        return lastEvent().has("error");
    }

    /** Returns the code of the error with which the response ended, or an empty string. */
    synchronized String errorCode() {
        return lastEvent().path("error").path("code").asText("");
    }

    /** Returns the HTTP status, or 0 if no response was received. */
    synchronized int status() {
        return status;
    }

    private JsonNode lastEvent() {
        Api.Response response = toResponse();
        List<String> events = response.events();
        return Api.parse(events.isEmpty() ? response.body() : events.get(events.size() - 1));
    }

    private int tokens() {
        return toResponse().events().stream()
                .mapToInt(event ->
                        Api.parse(event).path("usage").path("completion_tokens").asInt())
                .max()
                .orElse(0);
    }

    /** Returns a short description for the report of a violation. */
    @Override
    public synchronized String toString() {
        String last = lines.isEmpty() ? "nothing" : lines.get(lines.size() - 1);
        return "status " + status + ", " + lines.size() + " lines, " + tokens() + " of " + maxTokens + " tokens, "
                + (isEnded ? "ended" : "open") + ", last: " + last;
    }
}
