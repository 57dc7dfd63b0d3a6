package io.chivehollow.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import io.chivehollow.coordination.fairness.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a prefill engine that processes one prompt at a time, by priority, and caches prompt prefixes.
 *
 * <p>Batch prompts are processed in chunks; an interactive prompt preempts a batch prompt between two chunks.
 *
 * <p>Not thread-safe.
 */
final class PrefillEngine {

    private static final int CHUNK_TOKENS = 2_048;

    private final VirtualClock clock;
    private final RunStats stats;
    private final Deque<PrefillJob> interactive = new ArrayDeque<>();
    private final Deque<PrefillJob> batch = new ArrayDeque<>();
    private final Map<Integer, Integer> cachedTokensByGroup = new LinkedHashMap<>(16, 0.75f, true);
    private @Nullable PrefillJob running;
    private long runningEndUs;

    PrefillEngine(VirtualClock clock, RunStats stats) {
        this.clock = clock;
        this.stats = stats;
    }

    void submit(Request request, Runnable onDone) {
        PrefillJob job = new PrefillJob(request, onDone);
        (request.priority() == Priority.INTERACTIVE ? interactive : batch).add(job);
        startNext();
    }

    /** Cancels a queued or running request; does nothing if this engine does not have it. */
    void cancel(Request request) {
        interactive.removeIf(job -> job.request == request);
        batch.removeIf(job -> job.request == request);
        if (running != null && running.request == request) {
            stats.prefillUs += clock.nowUs() - running.startUs;
            running = null;
            startNext();
        }
    }

    int requestCount() {
        return interactive.size() + batch.size() + (running == null ? 0 : 1);
    }

    int interactiveRequestCount() {
        boolean runs = running != null && running.request.priority() == Priority.INTERACTIVE;
        return interactive.size() + (runs ? 1 : 0);
    }

    /** Returns the time until an interactive request that arrives now can start. */
    long backlogUs() {
        long backlogUs = 0;
        if (running != null) {
            long endUs = Math.max(0, runningEndUs - clock.nowUs());
            boolean preemptible = running.request.priority() == Priority.BATCH;
            backlogUs = preemptible ? Math.min(endUs, CostModel.prefillUs(CHUNK_TOKENS)) : endUs;
        }
        for (PrefillJob job : interactive) {
            backlogUs += prefillUs(job.request);
        }
        return backlogUs;
    }

    long prefillUs(Request request) {
        return CostModel.prefillUs(request.arrival.promptTokens() - cachedPrefixTokens(request));
    }

    int cachedPrefixTokens(Request request) {
        int group = request.arrival.prefixGroup();
        if (group == 0 || !cachedTokensByGroup.containsKey(group)) {
            return 0;
        }
        return Math.min(cachedTokensByGroup.get(group), request.arrival.prefixTokens());
    }

    void clearCache() {
        cachedTokensByGroup.clear();
    }

    private void startNext() {
        if (running != null) {
            return;
        }
        PrefillJob job = interactive.isEmpty() ? batch.poll() : interactive.poll();
        if (job == null) {
            return;
        }
        running = job;
        if (job.remainingUs < 0) {
            job.remainingUs = prefillUs(job.request);
        }
        runningEndUs = clock.nowUs() + job.remainingUs;
        startChunk(job);
    }

    private void startChunk(PrefillJob job) {
        job.startUs = clock.nowUs();
        boolean unchunked = job.request.priority() == Priority.INTERACTIVE;
        long chunkUs = unchunked ? job.remainingUs : Math.min(job.remainingUs, CostModel.prefillUs(CHUNK_TOKENS));
        clock.scheduleAfter(chunkUs, () -> endChunk(job, chunkUs));
    }

    private void endChunk(PrefillJob job, long chunkUs) {
        if (running != job || clock.nowUs() != job.startUs + chunkUs) {
            return;
        }
        stats.prefillUs += chunkUs;
        job.remainingUs -= chunkUs;
        if (job.remainingUs > 0 && interactive.isEmpty()) {
            startChunk(job);
            return;
        }
        running = null;
        if (job.remainingUs > 0) {
            batch.addFirst(job);
        } else {
            cachePrefix(job.request);
            job.onDone.run();
        }
        startNext();
    }

    private void cachePrefix(Request request) {
        if (request.arrival.prefixGroup() == 0) {
            return;
        }
        cachedTokensByGroup.merge(request.arrival.prefixGroup(), request.arrival.prefixTokens(), Math::max);
        int total = cachedTokensByGroup.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        var eldest = cachedTokensByGroup.entrySet().iterator();
        while (total > CostModel.PREFIX_CACHE_TOKENS && eldest.hasNext()) {
            total -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private static final class PrefillJob {
        private final Request request;
        private final Runnable onDone;
        private long startUs;
        private long remainingUs = -1;

        PrefillJob(Request request, Runnable onDone) {
            this.request = request;
            this.onDone = onDone;
        }
    }
}
