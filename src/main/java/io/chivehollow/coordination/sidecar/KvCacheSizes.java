package io.chivehollow.coordination.sidecar;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/**
 * Estimates the size of a prompt's KV cache from the last prefill of the same model.
 *
 * <p>Thread-safe. Stores at most {@link #MAX_MODELS} models and evicts the least recently used one first.
 */
final class KvCacheSizes {

    /**
     * Twice the 32 models of the target installation. The gateway chooses the model names, so their number needs a
     * bound.
     */
    static final int MAX_MODELS = 64;

    // With one segment the bound and the eviction order apply to the whole cache.
    private final Cache<String, Long> bytesPerToken = CacheBuilder.newBuilder()
            .concurrencyLevel(1)
            .maximumSize(MAX_MODELS)
            .build();

    void update(String model, long kvBytes, int promptTokens) {
        bytesPerToken.put(model, kvBytes / Math.max(1, promptTokens));
    }

    /** Returns the expected size of a prompt's KV cache, or 0 if no prefill of the model has been recorded. */
    long expectedBytes(String model, int promptTokens) {
        Long size = bytesPerToken.getIfPresent(model);
        return size == null ? 0 : promptTokens * size;
    }
}
