package io.chivehollow.coordination.forwarding.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
import io.chivehollow.coordination.forwarding.speed.ServerSpeed;

/**
 * Estimates how long a prompt waits at a prefill server, from the prompts that this process has sent to it.
 *
 * <p>In bursts all processes send prompts to the same few prefill servers. Each process sees only its own prompts, but
 * the time that they take shows the length of the whole queue. Not thread-safe.
 */
public final class PromptQueue {

    /**
     * Share of the time since the last prompt by which the queue is assumed to have shrunk; other processes may have
     * sent prompts since.
     */
    private static final double DRAIN_SHARE = 0.5;

    private static final double NANOS_TO_MS = 1.0 / TimeUnit.MILLISECONDS.toNanos(1);

    private final EngineEstimates estimates;
    private final ServerSpeed speed;
    private final Map<Object, PendingPrompt> pending = new HashMap<>();
    private double lastWaitMs;
    private long lastTokens;
    private long lastNanos;

    PromptQueue(EngineEstimates estimates, ServerSpeed speed) {
        this.estimates = estimates;
        this.speed = speed;
    }

    /** Records a prompt that is sent; the key identifies it in {@link #onEnd}. */
    public void onStart(Object key, long tokens, long nowNanos) {
        pending.put(key, new PendingPrompt(nowNanos, tokens, waitMs(nowNanos, speed.slowness(nowNanos))));
    }

    /** Records the end of a prompt; a prompt whose prefill failed still gives a lower bound of the wait. */
    public void onEnd(Object key, boolean isPrefilled, long nowNanos) {
        PendingPrompt ended = pending.remove(key);
        if (ended == null) {
            return;
        }
        if (isPrefilled) {
            estimates.onPrefill(ended.tokens(), ended.elapsedMs(nowNanos));
            speed.onWork(processingMs(ended.tokens()), ended.elapsedMs(nowNanos) - ended.expectedWaitMs(), nowNanos);
        }
        double waitMs = waitMs(ended, 1, nowNanos);
        if (isPrefilled || waitMs > waitMs(nowNanos)) {
            lastWaitMs = waitMs;
            lastTokens = ended.tokens();
            lastNanos = nowNanos;
        }
    }

    /** Returns the expected wait in milliseconds of a prompt that is sent now. */
    double waitMs(long nowNanos) {
        return waitMs(nowNanos, 1);
    }

    /** Returns the expected wait in milliseconds if the server takes longer than usual by the given factor. */
    double waitMs(long nowNanos, double slowness) {
        double lastMs = lastWaitMs - processingMs(lastTokens) * (slowness - 1);
        double waitMs = Math.max(0, lastMs - (nowNanos - lastNanos) * NANOS_TO_MS * DRAIN_SHARE);
        for (PendingPrompt prompt : pending.values()) {
            waitMs = Math.max(waitMs, waitMs(prompt, slowness, nowNanos));
        }
        return waitMs;
    }

    /** Returns the time of the prompt beyond that at an idle server. */
    private double waitMs(PendingPrompt prompt, double slowness, long nowNanos) {
        return Math.max(0, prompt.elapsedMs(nowNanos) - processingMs(prompt.tokens()) * slowness);
    }

    /** Returns the time in milliseconds that a usual server takes for a prompt of the given size. */
    double processingMs(long tokens) {
        return tokens / estimates.prefillTokensPerMs();
    }

    /** A prompt whose prefill has not ended. */
    private record PendingPrompt(long startNanos, long tokens, double expectedWaitMs) {

        double elapsedMs(long nowNanos) {
            return (nowNanos - startNanos) * NANOS_TO_MS;
        }
    }
}
