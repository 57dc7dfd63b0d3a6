package io.chivehollow.coordination.forwarding.adapter;

/**
 * The result of a prefill at a backend server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param handle name of the result at its backend server
 * @param promptTokens number of tokens of the prompt
 */
public record PrefillResult(String handle, long promptTokens) {}
