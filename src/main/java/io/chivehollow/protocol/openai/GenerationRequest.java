package io.chivehollow.protocol.openai;

import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * A validated completions or chat completions request.
 *
 * <p>Immutable and thread-safe, provided that the body is not changed. {@link #toString} omits the body, so that a
 * prompt cannot reach a log line.
 *
 * @param kind kind of the request
 * @param model name of the model as given by the caller
 * @param promptTokens estimated number of prompt tokens
 * @param maxTokens limit on output tokens that the caller set, or null if it set none
 * @param stream whether the caller requested a streamed response
 * @param includeUsage whether the streamed response ends with an event that reports the usage
 * @param batch whether the request has batch priority
 * @param prefixHashes chained hashes of the prompt's blocks, see {@link io.chivehollow.base.PrefixBlock}
 * @param body the request as sent by the caller
 */
public record GenerationRequest(
        GenerationKind kind,
        String model,
        int promptTokens,
        @Nullable Integer maxTokens,
        boolean stream,
        boolean includeUsage,
        boolean batch,
        List<Long> prefixHashes,
        ObjectNode body) {

    public GenerationRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Returns the request body for the engine, in JSON, with streaming enabled and one explicit output limit.
     *
     * <p>{@code max_completion_tokens} is replaced by {@code max_tokens}: a prefill sets only {@code max_tokens} to 1,
     * and an engine would give precedence to {@code max_completion_tokens}.
     */
    public byte[] engineBody(int maxOutputTokens) {
        ObjectNode engineBody = body.deepCopy();
        engineBody.remove(List.of("max_completion_tokens", "stream_options", "service_tier"));
        engineBody.put("max_tokens", maxOutputTokens);
        engineBody.put("stream", true);
        return Json.toBytes(engineBody);
    }

    @Override
    public String toString() {
        return "GenerationRequest[" + kind + ", model=" + model + ", promptTokens=" + promptTokens + "]";
    }
}
