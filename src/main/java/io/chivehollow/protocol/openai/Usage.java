package io.chivehollow.protocol.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Number of tokens of one request and its response.
 *
 * <p>Immutable and thread-safe.
 */
public record Usage(int promptTokens, int outputTokens) {

    ObjectNode toJson() {
        return Json.object()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens + outputTokens);
    }
}
