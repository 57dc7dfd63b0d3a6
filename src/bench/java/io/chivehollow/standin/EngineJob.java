package io.chivehollow.standin;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * One request in a simulated engine.
 *
 * <p>Not thread-safe. A job occupies its blocks from admission until it ends. A prefill for another engine occupies
 * them until its result is imported, expires or is aborted.
 */
final class EngineJob {

    /** State of a job's life cycle. */
    enum State {
        /** Waits for admission to the batch. */
        WAITING,
        /** Imports the KV cache of its prefill from another engine. */
        IMPORTING,
        PREFILL,
        DECODE,
        /** The prefill has ended and its result is retained until the decode engine has imported it. */
        RETAINED
    }

    private static final int DEFAULT_MAX_TOKENS = 16;

    final String id;
    final StandInExchange exchange;
    final boolean isChat;
    final boolean isStream;
    final boolean isRemoteDecode;
    final @Nullable JsonNode kvSource;
    final String prompt;
    final String digest;
    final int promptTokens;
    final int maxTokens;
    final int priority;
    State state = State.WAITING;
    int blocks;
    long firstBlockId;
    int prefilledTokens;
    int cachedTokens;
    int outputTokens;
    boolean isClaimed;
    final StringBuilder text = new StringBuilder();

    EngineJob(String id, StandInExchange exchange, JsonNode body) {
        this.id = id;
        this.exchange = exchange;
        this.isChat = exchange.path().endsWith("/chat/completions");
        this.isStream = body.path("stream").asBoolean(false);
        JsonNode transfer = body.path("kv_transfer_params");
        this.isRemoteDecode = transfer.path("do_remote_decode").asBoolean(false);
        this.kvSource = transfer.path("do_remote_prefill").asBoolean(false) ? transfer : null;
        this.prompt = isChat
                ? body.path("messages").toString()
                : body.path("prompt").asText(body.path("prompt").toString());
        this.digest = digest(prompt);
        this.promptTokens = PrefixCache.countTokens(prompt);
        int requestedTokens =
                body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(DEFAULT_MAX_TOKENS));
        this.maxTokens = Math.max(1, requestedTokens);
        this.priority = body.path("priority").asInt(0);
    }

    /** Returns the text with which the response to the prompt begins: 8 hexadecimal digits of its SHA-256 hash. */
    static String digest(String prompt) {
        return Hashing.sha256()
                .hashString(prompt, StandardCharsets.UTF_8)
                .toString()
                .substring(0, 8);
    }

    /** Returns the number of blocks for the prompt and, unless another engine decodes, the longest output. */
    int neededBlocks(int blockTokens) {
        int tokens = promptTokens + (isRemoteDecode ? 0 : maxTokens);
        return (tokens + blockTokens - 1) / blockTokens;
    }

    /** Returns the number of output tokens after which the response ends. */
    int targetOutputTokens(double fraction) {
        return Math.max(1, (int) Math.round(maxTokens * fraction));
    }
}
