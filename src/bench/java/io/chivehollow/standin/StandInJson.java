package io.chivehollow.standin;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes the JSON of the stand-ins.
 *
 * <p>Stateless and thread-safe.
 */
final class StandInJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StandInJson() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the parsed bytes; bytes that are no JSON object give an empty object. */
    static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node.isObject() ? node : newObject();
        } catch (IOException e) {
            return newObject();
        }
    }
}
