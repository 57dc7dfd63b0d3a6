package io.chivehollow.protocol.openai;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.Identifiers;
import org.jspecify.annotations.Nullable;

/**
 * Parses the bodies of generation requests.
 *
 * <p>Stateless and thread-safe. Every error message names the path of the invalid field.
 */
public final class RequestParser {

    private static final Set<String> BATCH_TIERS = Set.of("flex");

    private RequestParser() {}

    /**
     * Parses a request body.
     *
     * @throws OpenAiException if the body is not a valid request
     */
    public static GenerationRequest parse(GenerationKind kind, byte[] bytes) {
        ObjectNode body = Json.parseObject(bytes);
        String model = requiredText(body, "model");
        if (!Identifiers.isIdentifier(model)) {
            throw OpenAiException.field("model", "must be a model identifier");
        }
        Prompt prompt = kind == GenerationKind.CHAT ? chatPrompt(body) : completionPrompt(body);
        boolean stream = optionalBoolean(body, "stream", "stream");
        checkSupported(body);
        return new GenerationRequest(
                kind,
                model,
                Math.max(1, prompt.tokens()),
                maxTokens(body),
                stream,
                includeUsage(body, stream),
                isBatch(body),
                PromptText.prefixHashes(model, prompt.text()),
                body);
    }

    private static @Nullable Integer maxTokens(ObjectNode body) {
        Integer maxCompletionTokens = optionalPositiveInt(body, "max_completion_tokens");
        Integer maxTokens = optionalPositiveInt(body, "max_tokens");
        return maxCompletionTokens != null ? maxCompletionTokens : maxTokens;
    }

    private static boolean includeUsage(ObjectNode body, boolean stream) {
        JsonNode options = body.path("stream_options");
        if (isAbsent(options)) {
            return false;
        }
        if (!options.isObject()) {
            throw OpenAiException.field("stream_options", "must be an object");
        }
        if (!stream) {
            throw OpenAiException.field("stream_options", "is allowed only if stream is true");
        }
        return optionalBoolean(options, "include_usage", "stream_options.include_usage");
    }

    private static boolean isBatch(ObjectNode body) {
        JsonNode tier = body.path("service_tier");
        if (isAbsent(tier)) {
            return false;
        }
        if (!tier.isTextual()) {
            throw OpenAiException.field("service_tier", "must be a string");
        }
        return BATCH_TIERS.contains(tier.textValue());
    }

    /**
     * Rejects options whose results would be missing from the response without notice.
     *
     * <p>The internal messages carry only the text of one choice.
     */
    private static void checkSupported(ObjectNode body) {
        for (String field : new String[] {"n", "best_of"}) {
            Integer count = optionalPositiveInt(body, field);
            if (count != null && count != 1) {
                throw OpenAiException.field(field, "only 1 is supported");
            }
        }
        for (String field : new String[] {"logprobs", "top_logprobs", "tools", "functions", "echo"}) {
            JsonNode value = body.path(field);
            boolean isUnused = isAbsent(value)
                    || value.isBoolean() && !value.booleanValue()
                    || value.isArray() && value.isEmpty()
                    || field.equals("top_logprobs") && value.isInt() && value.intValue() == 0;
            if (!isUnused) {
                throw OpenAiException.field(field, "is not supported");
            }
        }
    }

    private static Prompt completionPrompt(ObjectNode body) {
        JsonNode prompt = body.path("prompt");
        if (prompt.isTextual()) {
            return Prompt.ofText(prompt.textValue());
        }
        if (!prompt.isArray() || prompt.isEmpty()) {
            throw OpenAiException.field("prompt", "must be a string or an array of token ids");
        }
        if (prompt.size() == 1 && prompt.get(0).isTextual()) {
            return Prompt.ofText(prompt.get(0).textValue());
        }
        for (int i = 0; i < prompt.size(); i++) {
            JsonNode token = prompt.get(i);
            if (!token.isInt() || token.intValue() < 0) {
                throw OpenAiException.field("prompt[" + i + "]", "must be a token id; only one prompt is supported");
            }
        }
        return new Prompt(prompt.toString(), prompt.size());
    }

    private static Prompt chatPrompt(ObjectNode body) {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw OpenAiException.field("messages", "must be an array with at least one message");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            appendMessage(messages.get(i), "messages[" + i + "]", text);
        }
        int tokens = PromptText.estimateTokens(text.toString()) + messages.size() * PromptText.TOKENS_PER_MESSAGE;
        return new Prompt(text.toString(), tokens);
    }

    private static void appendMessage(JsonNode message, String path, StringBuilder text) {
        if (!message.isObject()) {
            throw OpenAiException.field(path, "must be an object");
        }
        JsonNode role = message.path("role");
        if (!role.isTextual()) {
            throw OpenAiException.field(path + ".role", "must be a string");
        }
        text.append(role.textValue()).append('\n');
        JsonNode content = message.path("content");
        if (content.isTextual()) {
            text.append(content.textValue()).append('\n');
            return;
        }
        if (!content.isArray()) {
            throw OpenAiException.field(path + ".content", "must be a string or an array of text parts");
        }
        for (int i = 0; i < content.size(); i++) {
            JsonNode part = content.get(i);
            if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
                throw OpenAiException.field(path + ".content[" + i + "]", "must be a part of type text");
            }
            text.append(part.path("text").textValue()).append('\n');
        }
    }

    private static String requiredText(ObjectNode body, String field) {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw OpenAiException.field(field, "must be a string");
        }
        return value.textValue();
    }

    private static boolean optionalBoolean(JsonNode parent, String field, String path) {
        JsonNode value = parent.path(field);
        if (isAbsent(value)) {
            return false;
        }
        if (!value.isBoolean()) {
            throw OpenAiException.field(path, "must be true or false");
        }
        return value.booleanValue();
    }

    private static @Nullable Integer optionalPositiveInt(ObjectNode body, String field) {
        JsonNode value = body.path(field);
        if (isAbsent(value)) {
            return null;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            throw OpenAiException.field(field, "must be an integer of at least 1");
        }
        return value.intValue();
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    /** Text of a prompt with its number of tokens, which is an estimate unless it is given as token ids; immutable. */
    private record Prompt(String text, int tokens) {

        static Prompt ofText(String text) {
            return new Prompt(text, PromptText.estimateTokens(text));
        }
    }
}
