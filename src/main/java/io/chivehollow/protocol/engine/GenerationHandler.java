package io.chivehollow.protocol.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.chivehollow.base.ErrorCode;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Handles the streamed response of a generation.
 *
 * <p>Used on one event loop. Invariant: the result completes normally only if the engine has sent a finish reason; a
 * stream that ends without one is an error, so that an incomplete response is never taken for a complete one.
 */
final class GenerationHandler implements ResponseHandler {

    private static final int MAX_ERROR_BYTES = 4_096;

    private final TokenListener listener;
    private final Consumer<HttpHeaders> onHeaders;
    private final CompletableFuture<GenerationResult> result = new CompletableFuture<>();
    private final EventStreamParser parser = new EventStreamParser();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private int promptTokens;
    private int outputTokens;
    private int reportedOutputTokens;
    private String finishReason = "";

    GenerationHandler(TokenListener listener, Consumer<HttpHeaders> onHeaders) {
        this.listener = listener;
        this.onHeaders = onHeaders;
    }

    CompletableFuture<GenerationResult> result() {
        return result;
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
        status = responseStatus;
        onHeaders.accept(headers);
    }

    @Override
    public void onBody(byte[] bytes) {
        if (status != 200) {
            errorBody.write(bytes, 0, Math.min(bytes.length, MAX_ERROR_BYTES - errorBody.size()));
            return;
        }
        for (String event : parser.parse(bytes)) {
            if (!event.equals("[DONE]")) {
                onEvent(EngineJson.parse(event.getBytes(StandardCharsets.UTF_8)));
            }
        }
    }

    private void onEvent(JsonNode event) {
        if (event.has("error")) {
            throw EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Engine reported an error: " + event.get("error"), null);
        }
        JsonNode usage = event.path("usage");
        promptTokens = usage.path("prompt_tokens").asInt(promptTokens);
        reportedOutputTokens = usage.path("completion_tokens").asInt(reportedOutputTokens);
        JsonNode choice = event.path("choices").path(0);
        String text = choice.has("delta")
                ? choice.path("delta").path("content").asText("")
                : choice.path("text").asText("");
        if (!text.isEmpty()) {
            outputTokens++;
            listener.onTokens(text, 1);
        }
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.get("finish_reason").asText();
        }
    }

    @Override
    public boolean hasEnd() {
        return status == 200 && !finishReason.isEmpty();
    }

    @Override
    public void onEnd() {
        if (status != 200) {
            result.completeExceptionally(EngineJson.failure(status, errorBody.toByteArray()));
        } else if (finishReason.isEmpty()) {
            result.completeExceptionally(EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Engine ended the event stream without a finish reason", null));
        } else {
            result.complete(
                    new GenerationResult(promptTokens, Math.max(outputTokens, reportedOutputTokens), finishReason));
        }
    }

    @Override
    public void onFailure(EngineException failure) {
        result.completeExceptionally(failure);
    }
}
