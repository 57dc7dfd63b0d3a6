package io.chivehollow.coordination.gateway;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.protocol.openai.GenerationRequest;
import io.chivehollow.protocol.openai.GenerationWriter;
import io.chivehollow.protocol.openai.Usage;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;

/**
 * Converts the output of a generation to an HTTP response.
 *
 * <p>Not thread-safe; the flow calls it under its lock. Invariants: the status 200 is sent only when there is output;
 * a streamed response ends either with {@code [DONE]} or with an error event; any other response is either complete or
 * has an error status.
 */
abstract class GenerationResponder implements GenerationListener {

    /** The charset is stated so that clients do not guess it. */
    private static final MediaType EVENT_STREAM = MediaType.of("text/event-stream;charset=utf-8");

    /** Prevent proxies from caching or buffering the stream. */
    private static final Map<String, String> STREAM_HEADERS =
            Map.of("Cache-Control", "no-cache", "X-Accel-Buffering", "no");

    final HttpExchange exchange;
    final GenerationWriter writer;
    final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

    private GenerationResponder(HttpExchange exchange, GenerationWriter writer) {
        this.exchange = exchange;
        this.writer = writer;
    }

    /** Returns a responder for a streamed or a buffered response, as the request specifies. */
    static GenerationResponder create(HttpExchange exchange, GenerationRequest request, GenerationWriter writer) {
        return request.stream()
                ? new StreamedResponse(exchange, writer, request.includeUsage())
                : new BufferedResponse(exchange, writer);
    }

    /** Returns a future that completes as soon as the status of the response is determined. */
    CompletableFuture<HttpResponse<?>> response() {
        return response;
    }

    void respondWithFailure(ChivehollowException failure) {
        exchange.close();
        response.complete(exchange.failureResponse(failure));
    }

    /** Collects the text and sends it as one response at the end. */
    private static final class BufferedResponse extends GenerationResponder {

        private final StringBuilder text = new StringBuilder();

        BufferedResponse(HttpExchange exchange, GenerationWriter writer) {
            super(exchange, writer);
        }

        @Override
        public boolean onText(String part) {
            text.append(part);
            return true;
        }

        @Override
        public void onDone(Usage usage, String finishReason) {
            exchange.close();
            byte[] body = writer.completeResponse(text.toString(), finishReason, usage);
            response.complete(exchange.successResponse(body, MediaType.APPLICATION_JSON_TYPE, Map.of()));
        }

        @Override
        public void onFailed(ChivehollowException failure) {
            respondWithFailure(failure);
        }
    }

    /** Sends each part of the text as an event. */
    private static final class StreamedResponse extends GenerationResponder {

        private final EventBuffer events;
        private final boolean includeUsage;
        private boolean isStarted;

        StreamedResponse(HttpExchange exchange, GenerationWriter writer, boolean includeUsage) {
            super(exchange, writer);
            this.events = new EventBuffer(exchange.streamBufferChars(), writer::textEvent);
            this.includeUsage = includeUsage;
        }

        @Override
        public boolean onText(String text) {
            start();
            return events.addText(text);
        }

        @Override
        public void onDone(Usage usage, String finishReason) {
            start();
            exchange.close();
            byte[] finish = writer.finishEvent(finishReason);
            if (includeUsage) {
                events.finish(finish, writer.usageEvent(usage), GenerationWriter.doneEvent());
            } else {
                events.finish(finish, GenerationWriter.doneEvent());
            }
        }

        @Override
        public void onFailed(ChivehollowException failure) {
            if (!isStarted) {
                respondWithFailure(failure);
                return;
            }
            exchange.close();
            events.finish(GenerationWriter.errorEvent(exchange.errorBody(failure)));
        }

        private void start() {
            if (isStarted) {
                return;
            }
            isStarted = true;
            byte[] first = writer.startEvent();
            if (first != null) {
                events.start(first);
            }
            response.complete(exchange.streamedResponse(
                    events.events(exchange.cancellation()::cancel), EVENT_STREAM, STREAM_HEADERS));
        }
    }
}
