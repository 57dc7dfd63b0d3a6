package io.chivehollow.coordination.forwarding.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how long a prompt waits at a prefill server, from this process's own prompts there.
 *
 * <p>Answers the load of bursts in which all processes send prompts to the same few servers: each knows only its own,
 * but how long these take shows the queue of all. Not thread-safe.
 */
public final class PromptQueue {

    /** Prompt tokens that an idle server reads in a millisecond; the same in all deployments. */
    static final double TOKENS_PER_MS = 55;

    /** Part of the time since the last prompt by which the queue has shrunk; others may have sent more since. */
    private static final double DRAIN_SHARE = 0.5;

    private static final double NANOS_TO_MS = 1.0 / TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Object, Prompt> open = new HashMap<>();
    private double lastWaitMs;
    private long lastNanos;

    PromptQueue() {}

    /** Records a prompt that is sent; the key names it at its end. */
    public void onStart(Object key, long tokens, long nowNanos) {
        open.put(key, new Prompt(nowNanos, tokens));
    }

    /** Records the end of a prompt; one that was not read still shows how long it has waited at least. */
    public void onEnd(Object key, boolean isRead, long nowNanos) {
        Prompt ended = open.remove(key);
        if (ended == null) {
            return;
        }
        double waitMs = ended.waitMs(nowNanos);
        if (isRead || waitMs > waitMs(nowNanos)) {
            lastWaitMs = waitMs;
            lastNanos = nowNanos;
        }
    }

    /** Returns the time for which a prompt that is sent now waits before it is read. */
    double waitMs(long nowNanos) {
        double waitMs = Math.max(0, lastWaitMs - (nowNanos - lastNanos) * NANOS_TO_MS * DRAIN_SHARE);
        for (Prompt prompt : open.values()) {
            waitMs = Math.max(waitMs, prompt.waitMs(nowNanos));
        }
        return waitMs;
    }

    /** A prompt that has not been read yet. */
    private record Prompt(long startNanos, long tokens) {

        double waitMs(long nowNanos) {
            return Math.max(0, (nowNanos - startNanos) * NANOS_TO_MS - tokens / TOKENS_PER_MS);
        }
    }
}
