package io.chivehollow.coordination.forwarding.adapter;

/**
 * A prompt that a backend server has read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param handle name of the result at its backend server
 * @param promptTokens tokens of the prompt
 */
public record PrefillResult(String handle, long promptTokens) {}
