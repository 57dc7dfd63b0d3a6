package io.chivehollow.protocol.engine;

/**
 * Load that an engine reports about itself; the report lags behind the current load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootId id of the engine's current start; empty if it reports none
 * @param running number of requests in the running batch
 * @param waiting number of requests queued in the engine
 * @param memoryUse used fraction of the KV cache memory, from 0 to 1
 */
public record EngineStatus(String bootId, int running, int waiting, double memoryUse) {}
