package io.chivehollow.coordination.sidecar;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.settings.SidecarSettings;

/**
 * Parameters of a sidecar.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendServer the backend server beside which the sidecar runs
 * @param failureDomain failure domain of the sidecar's instance
 * @param kind whether the backend server is a prefill engine, a decode engine or an ordinary service
 * @param memoryBlocks number of memory blocks of an engine
 * @param blockTokens number of tokens that fit into one memory block
 * @param linkBytesPerSecond bandwidth of the link over which an engine imports KV cache
 * @param ramp capacity and warm service times of the backend server
 * @param prefillExpiryMs time for which an engine retains a prefill result
 * @param readyTimeoutMs longest time from PrefillReady to StartPrefill
 * @param transferTimeoutMs longest time from StartDecode to the first token
 * @param slowTokenMs time between two tokens above which the engine counts as cold
 * @param statusPeriodMs period of status calls to the engine while it has work
 */
record SidecarOptions(
        BackendServerId backendServer,
        FailureDomain failureDomain,
        SidecarSettings.BackendKind kind,
        int memoryBlocks,
        int blockTokens,
        long linkBytesPerSecond,
        RampConfig ramp,
        int prefillExpiryMs,
        int readyTimeoutMs,
        int transferTimeoutMs,
        int slowTokenMs,
        int statusPeriodMs) {

    /** Covers three round trips to decode sidecars, which take a few milliseconds, and delays of a busy gateway. */
    private static final int READY_TIMEOUT_MS = 1_000;

    private static final int STATUS_PERIOD_MS = 500;

    private static final double US_PER_MS = 1_000;

    static SidecarOptions of(SidecarSettings settings, FailureDomain failureDomain) {
        return new SidecarOptions(
                settings.backendServer(),
                failureDomain,
                settings.kind(),
                settings.memoryBlocks(),
                settings.blockTokens(),
                settings.linkBytesPerSecond(),
                rampConfig(settings),
                settings.prefillExpiryMs(),
                READY_TIMEOUT_MS,
                settings.transferTimeoutMs(),
                // Rounded up, because with 0 every token would count as slow.
                (int) Math.ceil(3 * settings.warmOutputTokenUs() / US_PER_MS),
                STATUS_PERIOD_MS);
    }

    private static RampConfig rampConfig(SidecarSettings settings) {
        return switch (settings.kind()) {
            case PREFILL -> new RampConfig(
                    settings.maxConcurrent(), settings.warmFixedMs(), settings.warmPromptTokenUs() / US_PER_MS);
            case DECODE -> new RampConfig(
                    settings.maxConcurrent(), settings.warmFixedMs(), settings.warmOutputTokenUs() / US_PER_MS);
                // The service time of an ordinary service is not configured. With a quarter of the timeout as the
                // baseline, calls that take less than half of the timeout raise the limit.
            case PLAIN -> new RampConfig(settings.maxConcurrent(), settings.callTimeoutMs() / 4.0, 1);
        };
    }
}
