package io.chivehollow.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Writes the responses of a simulated engine in the OpenAI format.
 *
 * <p>Stateless and thread-safe. The first output token is the digest of the prompt, so that a test can check that a
 * response belongs to its request. The field {@code standin} holds the engine that responds, the number of cached
 * prompt tokens and, unless the request was only prefilled, the engine that prefilled the prompt.
 */
final class EngineResponses {

    private EngineResponses() {}

    /** Appends an output token to the response and sends it as an event if the response is streamed. */
    static void sendToken(EngineJob job, String token) {
        job.text.append(token);
        if (!job.isStream) {
            return;
        }
        ObjectNode event = envelope(job, true);
        addChoice(event, job, token, null, true);
        job.exchange.sendEvent(event.toString());
    }

    /** Sends the whole response, or the last events if it is streamed. */
    static void finish(EngineJob job, String finishReason, String engine) {
        ObjectNode event = envelope(job, job.isStream);
        addChoice(event, job, job.isStream ? "" : job.text.toString(), finishReason, job.isStream);
        event.putObject("usage")
                .put("prompt_tokens", job.promptTokens)
                .put("completion_tokens", job.outputTokens)
                .put("total_tokens", job.promptTokens + job.outputTokens);
        ObjectNode origin = event.putObject("standin").put("engine", engine).put("cached_tokens", job.cachedTokens);
        origin.put(
                "kv_from",
                job.kvSource == null
                        ? engine
                        : job.kvSource.path("remote_engine_id").asText());
        if (job.isStream) {
            job.exchange.sendEvent(event.toString());
            job.exchange.sendEvent("[DONE]");
            job.exchange.endEventStream();
            return;
        }
        job.exchange.respondJson(200, event);
    }

    /**
     * Sends the response to a prefill whose KV cache another engine imports.
     *
     * @param kvBytes size of the KV cache in bytes
     * @param expiresMs time after which the prefill result is discarded, in milliseconds from now
     */
    static void finishPrefill(EngineJob job, String engine, int port, long kvBytes, long expiresMs) {
        ObjectNode event = envelope(job, false);
        addChoice(event, job, "", "length", false);
        event.putObject("usage").put("prompt_tokens", job.promptTokens).put("completion_tokens", 1);
        ObjectNode transfer = event.putObject("kv_transfer_params")
                .put("do_remote_prefill", true)
                .put("do_remote_decode", false)
                .put("remote_engine_id", engine)
                .put("remote_host", "127.0.0.1")
                .put("remote_port", port)
                .put("remote_kv_bytes", kvBytes)
                .put("remote_expires_ms", expiresMs);
        for (int i = 0; i < job.blocks; i++) {
            transfer.withArray("remote_block_ids").add(job.firstBlockId + i);
        }
        event.putObject("standin").put("engine", engine).put("cached_tokens", job.cachedTokens);
        job.exchange.respondJson(200, event);
    }

    private static ObjectNode envelope(EngineJob job, boolean isChunk) {
        String kind = job.isChat ? "chat.completion" + (isChunk ? ".chunk" : "") : "text_completion";
        return StandInJson.newObject().put("id", job.id).put("object", kind);
    }

    private static void addChoice(
            ObjectNode event, EngineJob job, String text, @Nullable String finishReason, boolean isChunk) {
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        if (job.isChat) {
            choice.putObject(isChunk ? "delta" : "message").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
    }
}
