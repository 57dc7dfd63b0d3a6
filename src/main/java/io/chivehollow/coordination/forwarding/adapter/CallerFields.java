package io.chivehollow.coordination.forwarding.adapter;

import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import org.jspecify.annotations.Nullable;

/**
 * Values parsed from the header of a caller's request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId id of the request; null if there is none
 * @param apiKey the API key; null if there is none
 * @param deadlineMs time in milliseconds for which the caller waits; empty if not stated
 * @param promptTokens number of prompt tokens, 0 if not stated
 * @param maxOutputTokens maximum number of output tokens, 0 if not stated
 * @param expectedOutputTokens the caller's estimate of the output in tokens, 0 if not stated
 * @param hasTokenCounts whether the request states its token counts
 * @param promptParts ids of the parts of the prompt in their order; the last one belongs to this prompt alone, and the
 *     others are shared with other prompts; empty if not stated
 * @param lastEventId id of the last event that the caller has received if it resumes a stream, otherwise empty
 */
public record CallerFields(
        @Nullable String requestId,
        @Nullable String apiKey,
        OptionalLong deadlineMs,
        long promptTokens,
        long maxOutputTokens,
        long expectedOutputTokens,
        boolean hasTokenCounts,
        ImmutableList<String> promptParts,
        OptionalLong lastEventId) {

    /** Omits the API key, which must not be logged. */
    @Override
    public String toString() {
        return "CallerFields[" + requestId + "]";
    }
}
