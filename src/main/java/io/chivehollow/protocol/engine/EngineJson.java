package io.chivehollow.protocol.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.ErrorCode;

/**
 * Reads and writes the JSON bodies of the engine protocol.
 *
 * <p>Stateless and thread-safe.
 */
final class EngineJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_MESSAGE_CHARS = 300;

    private EngineJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw EngineException.mayHaveRun(ErrorCode.BACKEND_FAILED, "Engine sent malformed JSON", e);
        }
    }

    static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the request body of a prefill: one output token, not streamed, KV cache retained for export. */
    static byte[] prefillBody(byte[] requestBody) {
        ObjectNode body = requestObject(requestBody);
        body.remove("max_completion_tokens");
        body.remove("stream_options");
        body.put("max_tokens", 1).put("stream", false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true);
        return bytes(body);
    }

    /** Returns the request body of a streamed generation, which imports the handle's KV cache unless it is empty. */
    static byte[] generationBody(byte[] requestBody, String handle) {
        ObjectNode body = requestObject(requestBody);
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        body.remove("kv_transfer_params");
        if (!handle.isEmpty()) {
            ObjectNode transfer = requestObject(handle.getBytes(StandardCharsets.UTF_8));
            transfer.put("do_remote_prefill", true).put("do_remote_decode", false);
            body.set("kv_transfer_params", transfer);
        }
        return bytes(body);
    }

    /** Returns the error for a response with an error status; its message quotes the start of the body. */
    static EngineException failure(int status, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        String message = text.length() > MAX_MESSAGE_CHARS ? text.substring(0, MAX_MESSAGE_CHARS) : text;
        ErrorCode code = status == 400 || status == 422 ? ErrorCode.INVALID_REQUEST : ErrorCode.BACKEND_FAILED;
        return EngineException.mayHaveRun(code, "Engine responded with status " + status + ": " + message, null);
    }

    private static ObjectNode requestObject(byte[] bytes) {
        try {
            if (MAPPER.readTree(bytes) instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw EngineException.notSent(ErrorCode.INVALID_REQUEST, "Body is not valid JSON", e);
        }
        throw EngineException.notSent(ErrorCode.INVALID_REQUEST, "Body must be a JSON object", null);
    }
}
