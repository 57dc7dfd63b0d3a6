package io.chivehollow.settings;

import java.net.InetSocketAddress;

import io.chivehollow.base.BackendServerId;

/**
 * Settings of the sidecar role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address address at which gateways reach the sidecar
 * @param backendServer the backend server beside which the sidecar runs
 * @param backendAddress HTTP address of the backend server
 * @param kind whether the backend server is a prefill engine, a decode engine or an ordinary service
 * @param memoryBlocks number of KV cache memory blocks of an engine
 * @param blockTokens number of tokens per memory block
 * @param maxConcurrent number of requests that a warm backend server processes concurrently
 * @param linkBytesPerSecond bandwidth of the link over which an engine imports KV cache
 * @param callTimeoutMs longest time without data from the backend server during a call
 * @param prefillExpiryMs time for which an engine retains a prefill result; a prefill sidecar uses it if the engine
 *     reports none, a decode sidecar uses it to limit planned transfers
 * @param transferTimeoutMs longest time from the start of a decode to its first token
 * @param warmOutputTokenUs time per output token of a warm engine, in microseconds
 * @param warmPromptTokenUs prefill time per prompt token of a warm engine, in microseconds
 * @param warmFixedMs fixed part of the service time of a request on a warm engine, in milliseconds
 */
public record SidecarSettings(
        InetSocketAddress address,
        BackendServerId backendServer,
        InetSocketAddress backendAddress,
        BackendKind kind,
        int memoryBlocks,
        int blockTokens,
        int maxConcurrent,
        long linkBytesPerSecond,
        int callTimeoutMs,
        int prefillExpiryMs,
        int transferTimeoutMs,
        int warmOutputTokenUs,
        int warmPromptTokenUs,
        int warmFixedMs) {

    /** Role of a backend server in its pool, or an ordinary service; written as "kind" in the settings. */
    public enum BackendKind {
        /** An engine that runs the prefill of requests. */
        PREFILL,
        /** An engine that runs the decode of requests. */
        DECODE,
        /** An ordinary HTTP service, without an inference engine. */
        PLAIN
    }
}
