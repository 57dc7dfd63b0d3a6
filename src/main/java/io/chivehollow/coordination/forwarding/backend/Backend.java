package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayDeque;
import java.util.Deque;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;
import io.chivehollow.coordination.forwarding.adapter.BackendLoad;
import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * One run of a backend server, with this process's open work at it.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
public final class Backend {

    /** A load report says nothing about the present after this time; a request takes some hundred milliseconds. */
    private static final long LOAD_VALID_NANOS = 400_000_000L;

    /** First time for which a failed backend server is avoided; a restart takes about a second. */
    private static final long FIRST_SUSPICION_NANOS = 250_000_000L;

    /** With the first time, bounds the time without a try at 4 s. */
    private static final int MAX_FAILURES_IN_ROW = 5;

    /** Time for which a refused reservation is not asked for again; a request ends about each 100 ms. */
    private static final long MEMORY_FULL_NANOS = 40_000_000L;

    /** A full backend server has room again after about one request's time. */
    private static final long FULL_NANOS = 50_000_000L;

    final Deque<IdleConnection> idle = new ArrayDeque<>();
    private final PromptQueue prompts = new PromptQueue();
    private BackendEntry entry;
    private long coldUntilNanos = Long.MIN_VALUE / 2;
    private long suspectUntilNanos = Long.MIN_VALUE / 2;
    private int failuresInRow;
    private int running;
    private long promptTokens;
    private long memoryTokens;
    private @Nullable BackendLoad load;
    private long loadNanos;
    private long lastColdSendNanos;
    private long memoryFullUntilNanos = Long.MIN_VALUE / 2;
    private long refusedTokens;
    private boolean isListed = true;
    private boolean isReplaced;

    Backend(BackendEntry entry, long nowNanos) {
        this.entry = entry;
        this.lastColdSendNanos = nowNanos - Long.MAX_VALUE / 4;
        update(entry, nowNanos);
    }

    void update(BackendEntry newEntry, long nowNanos) {
        entry = newEntry;
        isListed = true;
        if (newEntry.coldLeftMs() > 0) {
            onCold(newEntry.coldLeftMs(), nowNanos);
        }
    }

    void onCold(long leftMs, long nowNanos) {
        coldUntilNanos = nowNanos + leftMs * 1_000_000;
    }

    void onGone() {
        isListed = false;
    }

    /** Returns the entry of the platform's list. */
    public BackendEntry entry() {
        return entry;
    }

    /** Returns the id. */
    public String id() {
        return entry.id();
    }

    /** Returns what the backend server does with prompts. */
    public Stage stage() {
        return entry.stage();
    }

    boolean isUsable() {
        return isListed && !isReplaced && !entry.isDraining();
    }

    boolean isCold(long nowNanos) {
        return nowNanos < coldUntilNanos;
    }

    boolean isSuspect(long nowNanos) {
        return nowNanos < suspectUntilNanos;
    }

    long lastColdSendNanos() {
        return lastColdSendNanos;
    }

    /** Counts a request that is sent; to be balanced with {@link #onEnd}. */
    public void onStart(long requestPromptTokens, long requestMemoryTokens, long nowNanos) {
        running++;
        promptTokens += requestPromptTokens;
        memoryTokens += requestMemoryTokens;
        if (isCold(nowNanos)) {
            lastColdSendNanos = nowNanos;
        }
    }

    /** Takes back what {@link #onStart} counted. */
    public void onEnd(long requestPromptTokens, long requestMemoryTokens) {
        running--;
        promptTokens -= requestPromptTokens;
        memoryTokens -= requestMemoryTokens;
    }

    /** Records the prompt tokens that no longer wait because the first output has come. */
    public void onPromptRead(long requestPromptTokens) {
        promptTokens -= requestPromptTokens;
    }

    /** Records a sound answer. */
    public void onSuccess() {
        failuresInRow = 0;
        suspectUntilNanos = Long.MIN_VALUE / 2;
    }

    /** Records a failure; the backend server is avoided for a time that doubles with each failure in a row. */
    public void onFailure(long nowNanos) {
        failuresInRow = Math.min(failuresInRow + 1, MAX_FAILURES_IN_ROW);
        suspectUntilNanos = nowNanos + (FIRST_SUSPICION_NANOS << (failuresInRow - 1));
    }

    /** Avoids the backend server for a short time after it refused a request because it is full. */
    public void onFull(long nowNanos) {
        suspectUntilNanos = Math.max(suspectUntilNanos, nowNanos + FULL_NANOS);
    }

    /** Records a load report. */
    public void onLoad(BackendLoad reported, long nowNanos) {
        load = reported;
        loadNanos = nowNanos;
    }

    /** Returns the requests at the backend server, of this process or as it has reported itself lately. */
    int requests(long nowNanos) {
        BackendLoad reported = load;
        if (reported == null || nowNanos - loadNanos > LOAD_VALID_NANOS) {
            return running;
        }
        return Math.max(running, reported.running() + reported.waiting());
    }

    /** Returns the requests of other processes at the backend server, as it has reported lately. */
    int otherRequests(long nowNanos) {
        return requests(nowNanos) - running;
    }

    /** Returns the queue of prompts of a prefill server. */
    public PromptQueue prompts() {
        return prompts;
    }

    /** Counts memory that is asked for or granted; to be balanced with {@link #onReserveEnd}. */
    public void onReserve(long tokens) {
        memoryTokens += tokens;
    }

    /** Takes back what {@link #onReserve} counted. */
    public void onReserveEnd(long tokens) {
        memoryTokens -= tokens;
    }

    /** Records that there was no memory for so many tokens. */
    public void onMemoryFull(long tokens, long nowNanos) {
        memoryFullUntilNanos = nowNanos + MEMORY_FULL_NANOS;
        refusedTokens = tokens;
    }

    /** Records that a request has ended here, which has freed memory. */
    public void onMemoryFreed() {
        memoryFullUntilNanos = Long.MIN_VALUE / 2;
    }

    /** Records that the address belongs to another backend server; this run does not come back. */
    public void onReplaced() {
        isReplaced = true;
    }

    boolean lacksMemory(long tokens, long nowNanos) {
        return nowNanos < memoryFullUntilNanos && tokens >= refusedTokens;
    }

    long promptTokens() {
        return promptTokens;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    /**
     * A connection that waits for the next request.
     *
     * @param channel the connection
     * @param usableUntilNanos time after which the backend server may close it
     */
    record IdleConnection(Channel channel, long usableUntilNanos) {}
}
