package io.chivehollow.protocol.engine;

/**
 * Result of a prefill. The engine stores the KV cache until it is imported or expires.
 *
 * <p>Immutable and thread-safe.
 *
 * @param handle the engine's {@code kv_transfer_params} in JSON, with which a decode engine imports the KV cache
 * @param sourceAddress address from which a decode engine imports the KV cache, host:port
 * @param promptTokens number of prompt tokens, counted by the engine
 * @param kvBytes size of the KV cache in bytes; 0 if the engine does not report it
 * @param expiresMs time in milliseconds after which the engine discards the KV cache; 0 if it does not report it
 */
public record PrefillResult(String handle, String sourceAddress, int promptTokens, long kvBytes, int expiresMs) {}
