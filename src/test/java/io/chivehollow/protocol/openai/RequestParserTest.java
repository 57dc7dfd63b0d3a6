package io.chivehollow.protocol.openai;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.chivehollow.base.PrefixBlock;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against request fields that are lost or misread, and against token estimates and prefix hashes that depend on
 * the wrong text.
 */
public class RequestParserTest {

    private static GenerationRequest completion(String fields) {
        String body = "{\"model\":\"m\"," + fields + "}";
        return RequestParser.parse(GenerationKind.COMPLETION, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void parsesAllFields() {
        GenerationRequest request = completion("\"prompt\":\"abcdefgh\",\"max_tokens\":5,\"stream\":true,"
                + "\"stream_options\":{\"include_usage\":true},\"service_tier\":\"flex\"");
        assertEquals(request.promptTokens(), 2);
        assertEquals(request.maxTokens(), Integer.valueOf(5));
        assertTrue(request.stream() && request.includeUsage() && request.batch());
        assertNull(completion("\"prompt\":\"x\",\"max_tokens\":null").maxTokens());
        assertFalse(completion("\"prompt\":\"x\",\"service_tier\":\"auto\"").batch());
        assertEquals(completion("\"prompt\":[1,2,3]").promptTokens(), 3);
    }

    /**
     * Guards against a prefill that generates the complete response.
     *
     * <p>This happens if the body still has {@code max_completion_tokens}, to which an engine gives precedence.
     */
    @Test
    public void engineBodyHasOneOutputLimit() {
        JsonNode body = Json.parseObject(completion("\"prompt\":\"x\",\"max_tokens\":3,\"max_completion_tokens\":9,"
                        + "\"temperature\":0.5,\"y\":[null]")
                .engineBody(9));
        assertEquals(body.path("max_tokens").intValue(), 9);
        assertTrue(body.path("max_completion_tokens").isMissingNode());
        assertTrue(body.path("stream").booleanValue());
        assertEquals(body.path("temperature").doubleValue(), 0.5);
        assertTrue(body.path("y").isArray());
    }

    @Test
    public void toStringOmitsPrompt() {
        assertFalse(completion("\"prompt\":\"confidential\"").toString().contains("confidential"));
    }

    @Test
    public void equalPrefixesHaveEqualHashes() {
        String block = "b".repeat(PrefixBlock.TOKENS * PromptText.BYTES_PER_TOKEN);
        List<Long> hashes = PromptText.prefixHashes("m", block + block + "tail");
        List<Long> otherHashes = PromptText.prefixHashes("m", block + block.replace('b', 'c') + block);
        assertEquals(hashes.size(), 2);
        assertEquals(hashes.get(0), otherHashes.get(0));
        assertFalse(hashes.get(1).equals(otherHashes.get(1)) || hashes.get(0).equals(hashes.get(1)));
        assertFalse(hashes.get(0).equals(PromptText.prefixHashes("n", block).get(0)));
    }
}
