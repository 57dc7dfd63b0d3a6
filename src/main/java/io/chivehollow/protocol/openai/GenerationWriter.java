package io.chivehollow.protocol.openai;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Writes the response to one request: either a complete response or the events of a streamed response.
 *
 * <p>Immutable and thread-safe. All events of a streamed response have the same id.
 */
public final class GenerationWriter {

    private static final byte[] EVENT_START = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final GenerationKind kind;
    private final String id;
    private final String model;
    private final long createdSeconds;

    private GenerationWriter(GenerationKind kind, String id, String model, long createdSeconds) {
        this.kind = kind;
        this.id = id;
        this.model = model;
        this.createdSeconds = createdSeconds;
    }

    /**
     * Returns a writer for the response to a request.
     *
     * @param createdSeconds creation time of the response in Unix seconds
     */
    public static GenerationWriter create(GenerationRequest request, String requestId, long createdSeconds) {
        GenerationKind kind = request.kind();
        return new GenerationWriter(kind, kind.idPrefix() + requestId, request.model(), createdSeconds);
    }

    /** Returns the body of a complete response that is not streamed. */
    public byte[] answer(String text, String finishReason, Usage usage) {
        ObjectNode response = head(kind.responseObject());
        ObjectNode choice = response.putArray("choices").addObject();
        choice.put("index", 0);
        if (kind == GenerationKind.CHAT) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("logprobs");
        choice.put("finish_reason", finishReason);
        response.set("usage", usage.toJson());
        return Json.toBytes(response);
    }

    /** Returns the event that starts a streamed chat response, or null if this kind of request has none. */
    public byte @Nullable [] startEvent() {
        if (kind != GenerationKind.CHAT) {
            return null;
        }
        return chunk(null, null, true);
    }

    /** Returns an event with output text. */
    public byte[] textEvent(String text) {
        return chunk(text, null, false);
    }

    /** Returns the event with the finish reason. */
    public byte[] finishEvent(String finishReason) {
        return chunk(null, finishReason, false);
    }

    /** Returns the event that reports the usage; its list of choices is empty. */
    public byte[] usageEvent(Usage usage) {
        ObjectNode chunk = head(kind.chunkObject());
        chunk.putArray("choices");
        chunk.set("usage", usage.toJson());
        return event(chunk);
    }

    /** Returns the event that marks the end of a complete streamed response. */
    public static byte[] doneEvent() {
        return DONE.clone();
    }

    /** Returns the event that ends a streamed response that could not be completed. */
    public static byte[] errorEvent(ErrorBody error) {
        return event(error.toJson());
    }

    /** Returns an event with one choice; the text and the finish reason may be null. */
    private byte[] chunk(@Nullable String text, @Nullable String finishReason, boolean isStart) {
        ObjectNode chunk = head(kind.chunkObject());
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        if (kind == GenerationKind.CHAT) {
            ObjectNode delta = choice.putObject("delta");
            if (isStart) {
                delta.put("role", "assistant").put("content", "");
            }
            if (text != null) {
                delta.put("content", text);
            }
        } else {
            choice.put("text", text == null ? "" : text);
        }
        choice.putNull("logprobs");
        choice.put("finish_reason", finishReason);
        return event(chunk);
    }

    /** Returns an object with the fields that all responses and events have. */
    private ObjectNode head(String object) {
        return Json.object()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }

    private static byte[] event(ObjectNode data) {
        ByteArrayOutputStream event = new ByteArrayOutputStream();
        event.writeBytes(EVENT_START);
        event.writeBytes(Json.toBytes(data));
        event.writeBytes(EVENT_END);
        return event.toByteArray();
    }
}
