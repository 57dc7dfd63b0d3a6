package io.chivehollow.protocol.engine;

/**
 * Result of a complete generation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param promptTokens number of prompt tokens, counted by the engine
 * @param outputTokens number of output tokens
 * @param finishReason the engine's reason why the output ended
 */
public record GenerationResult(int promptTokens, int outputTokens, String finishReason) {}
