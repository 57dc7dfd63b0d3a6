package io.chivehollow.protocol.openai;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON.
 *
 * <p>Stateless and thread-safe. Duplicate fields are rejected, because the sender and the engine could read
 * different values.
 */
public final class Json {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a body that must be one JSON object.
     *
     * @throws OpenAiException if the body is not valid JSON or not an object
     */
    public static ObjectNode parseObject(byte[] body) {
        if (parse(body) instanceof ObjectNode object) {
            return object;
        }
        throw OpenAiException.malformed("Body must be a JSON object");
    }

    private static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            // The parser's own message quotes the body, which must not be logged.
            String location = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw OpenAiException.malformed("Body is not valid JSON" + location);
        } catch (IOException e) {
            throw OpenAiException.malformed("Body is not valid JSON");
        }
    }

    /** Returns the node as JSON in UTF-8. */
    public static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
