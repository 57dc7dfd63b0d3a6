package io.chivehollow.coordination.forwarding.adapter;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * What the header of a caller's request says.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId id of the request, if it has one
 * @param apiKey the API key, if there is one
 * @param deadlineMs time that the caller will wait
 * @param promptTokens tokens of the prompt, 0 if not stated
 * @param maxOutputTokens greatest number of output tokens, 0 if not stated
 * @param expectedOutputTokens the caller's estimate of the output, 0 if not stated
 * @param statesTokens whether the request states its tokens
 * @param lastEventId last event that the caller has, if it goes on with a stream
 */
public record CallerFields(
        @Nullable String requestId,
        @Nullable String apiKey,
        OptionalLong deadlineMs,
        long promptTokens,
        long maxOutputTokens,
        long expectedOutputTokens,
        boolean statesTokens,
        OptionalLong lastEventId) {

    /** Leaves out the key, which must not reach a log. */
    @Override
    public String toString() {
        return "CallerFields[" + requestId + "]";
    }
}
