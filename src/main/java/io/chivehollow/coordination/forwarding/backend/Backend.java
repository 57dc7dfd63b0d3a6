package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Identifiers;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;
import io.chivehollow.coordination.forwarding.adapter.BackendLoad;
import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
import io.chivehollow.coordination.forwarding.locality.LinkObserver;
import io.chivehollow.coordination.forwarding.speed.ServerSpeed;
import io.chivehollow.coordination.forwarding.speed.SlownessWatch;
import io.chivehollow.coordination.forwarding.speed.SpeedListener;
import io.chivehollow.coordination.forwarding.speed.WorkTimes;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One run of a backend server, from its start to its end, with the open work of this process at it.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
public final class Backend {

    /** Load reports expire after this time, because a request takes only some hundred milliseconds. */
    private static final long LOAD_VALID_NANOS = 400_000_000L;

    /** Time for which a backend server is avoided after its first failure; a restart takes about a second. */
    private static final long FIRST_SUSPICION_NANOS = 250_000_000L;

    /** Limits the doubling of {@link #FIRST_SUSPICION_NANOS}, so that a server is avoided for at most 4 s. */
    private static final int MAX_FAILURES_IN_ROW = 5;

    /** Time for which a refused reservation is not retried; a request ends about every 100 ms. */
    private static final long MEMORY_FULL_NANOS = 40_000_000L;

    /** Share of the time of a run for which a server that has refused a reservation is likely to be full. */
    private static final double LIKELY_FULL_RUN_SHARE = 0.25;

    private static final double NANOS_PER_MS = 1e6;

    /** A full backend server has capacity again after about the time of one request. */
    private static final long FULL_NANOS = 50_000_000L;

    private static final long MAX_ROUNDING_NANOS = 999_999;
    private static final Logger LOG = Logger.getLogger(Backend.class);

    final Deque<IdleConnection> idleConnections = new ArrayDeque<>();

    /** The idle connections of the router's own calls. */
    final Deque<IdleConnection> idleOwnConnections = new ArrayDeque<>();

    /** Created with the first request of a caller. */
    @Nullable
    RunWitness witness;

    private final EngineEstimates estimates;
    private final WorkTimes workTimes;
    private final ServerSpeed speed = ServerSpeed.create();
    private final SlownessWatch slownessWatch = SlownessWatch.create();
    private final ServerNotices notices;
    private final ServerNotice notice;
    private final LinkObserver links;
    private final PromptQueue promptQueue;
    private BackendEntry entry;
    private long coldEndNanos = Long.MIN_VALUE / 2;
    private long suspectEndNanos = Long.MIN_VALUE / 2;
    private int failuresInRow;
    private int openRequests;
    private long promptTokens;
    private long memoryTokens;
    private @Nullable BackendLoad load;
    private long loadReportNanos;
    private long lastColdSendNanos;
    private long memoryFullEndNanos = Long.MIN_VALUE / 2;
    private long refusedTokens;
    private long memoryRefusalNanos;
    private boolean isMemoryRefused;
    private long idleTimeoutMs = -1;
    private boolean isListed = true;
    private boolean isReplaced;

    Backend(
            BackendEntry entry,
            EngineEstimates estimates,
            WorkTimes workTimes,
            ServerNotices notices,
            LinkObserver links,
            long nowNanos) {
        this.entry = entry;
        this.links = links;
        this.estimates = estimates;
        this.workTimes = workTimes;
        this.notices = notices;
        this.notice = notices.of(entry.id());
        this.promptQueue = new PromptQueue(estimates, speed);
        this.lastColdSendNanos = nowNanos - Long.MAX_VALUE / 4;
        update(entry, nowNanos);
    }

    void update(BackendEntry newEntry, long nowNanos) {
        if (witness != null && !newEntry.address().equals(entry.address())) {
            witness.reset();
        }
        entry = newEntry;
        isListed = true;
        if (newEntry.coldRemainingMs() > 0) {
            onCold(newEntry.coldRemainingMs(), nowNanos);
        }
    }

    void onCold(long remainingMs, long nowNanos) {
        coldEndNanos = nowNanos + remainingMs * 1_000_000;
    }

    void onRemoved() {
        isListed = false;
    }

    /** Returns the entry in the platform's list. */
    public BackendEntry entry() {
        return entry;
    }

    /** Returns the id of this run. */
    public String id() {
        return entry.id();
    }

    /** Returns the pool role of the backend server. */
    public Role role() {
        return entry.role();
    }

    /** Returns whether this run may get new work now, which must be checked again before each request is sent. */
    public boolean mayReceive(long nowNanos) {
        return isUsable() && notice.heldNanos(nowNanos) == 0;
    }

    /** Returns the time in milliseconds for which this run still wants no requests, or 0. */
    public long heldMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(notice.heldNanos(nowNanos) + MAX_ROUNDING_NANOS);
    }

    long heldNanos(long nowNanos) {
        return notice.heldNanos(nowNanos);
    }

    /** Returns whether this run may get new work once it wants some. */
    public boolean isUsable() {
        return isListed && !isReplaced && !entry.isDraining() && !isLeaving();
    }

    /** Returns whether this run has stated that it leaves. */
    public boolean isLeaving() {
        return notice.isLeaving();
    }

    /** Reads the head of a response from the address of this run, and records what the server states about itself. */
    public ResponseFields readHead(Dialect dialect, HttpResponse head, long nowNanos) {
        ResponseFields fields = dialect.readResponse(head.status().code(), head.headers());
        links.onHeard(entry.domain(), nowNanos);
        BackendLoad reported = fields.load();
        if (reported != null) {
            onLoad(reported, nowNanos);
        }
        if (fields.unreadableLoad() != null) {
            notice.onLoadUnreadable(fields.unreadableLoad());
        }
        String sender = fields.backendServer();
        boolean hasNotice = fields.isLeaving() || fields.retryAfterMs() > 0;
        if (hasNotice && (sender == null || Identifiers.isIdentifier(sender))) {
            ServerNotice stated = sender == null ? notice : notices.of(sender);
            if (fields.isLeaving()) {
                stated.onLeaving();
            }
            if (fields.retryAfterMs() > 0) {
                stated.onHeld(fields.retryAfterMs(), nowNanos);
            }
        }
        return fields;
    }

    /** Returns the idle timeout of connections that the server stated last, in milliseconds, or -1 if none. */
    long idleTimeoutMs() {
        return idleTimeoutMs;
    }

    void setIdleTimeoutMs(long timeoutMs) {
        if (timeoutMs < 0 || timeoutMs == idleTimeoutMs) {
            return;
        }
        idleTimeoutMs = timeoutMs;
        if (witness != null) {
            witness.onIdleTimeoutChanged();
        }
    }

    /** Returns text for the log: how the platform's list shows this run. */
    String listState() {
        if (isReplaced) {
            return "replaced at its address";
        }
        if (!isListed) {
            return "removed from the list";
        }
        return entry.isDraining() ? "listed as draining" : "listed as ready";
    }

    /** Records that a connection was opened within the given time in milliseconds. */
    void onConnected(double connectMs, long nowNanos) {
        links.onConnected(entry.domain(), connectMs, nowNanos);
    }

    boolean isCold(long nowNanos) {
        return nowNanos < coldEndNanos;
    }

    boolean isSuspect(long nowNanos) {
        return nowNanos < suspectEndNanos;
    }

    long lastColdSendNanos() {
        return lastColdSendNanos;
    }

    /** Counts a request that is sent; each call must be followed by exactly one call of {@link #onEnd}. */
    public void onStart(long requestPromptTokens, long requestMemoryTokens, long nowNanos) {
        openRequests++;
        promptTokens += requestPromptTokens;
        memoryTokens += requestMemoryTokens;
        if (isCold(nowNanos)) {
            lastColdSendNanos = nowNanos;
        }
    }

    /** Subtracts what {@link #onStart} has counted. */
    public void onEnd(long requestPromptTokens, long requestMemoryTokens) {
        openRequests--;
        promptTokens -= requestPromptTokens;
        memoryTokens -= requestMemoryTokens;
    }

    /** Subtracts prompt tokens that no longer wait for prefill because the first output has arrived. */
    public void onPrefillDone(long requestPromptTokens) {
        promptTokens -= requestPromptTokens;
    }

    /** Records a valid response, which ends the avoidance after failures. */
    public void onSuccess() {
        failuresInRow = 0;
        suspectEndNanos = Long.MIN_VALUE / 2;
    }

    /** Records a failure; the backend server is avoided for a time that doubles with each consecutive failure. */
    public void onFailure(long nowNanos) {
        links.onFailure(entry.domain(), id(), nowNanos);
        failuresInRow = Math.min(failuresInRow + 1, MAX_FAILURES_IN_ROW);
        suspectEndNanos = nowNanos + (FIRST_SUSPICION_NANOS << (failuresInRow - 1));
    }

    /** Avoids the backend server for a short time after it refused a request because it is full. */
    public void onFull(long nowNanos) {
        suspectEndNanos = Math.max(suspectEndNanos, nowNanos + FULL_NANOS);
    }

    /** Records a load report. */
    public void onLoad(BackendLoad reported, long nowNanos) {
        load = reported;
        loadReportNanos = nowNanos;
        reported.machinePercent().ifPresent(percent -> speed.onReported(percent, nowNanos));
    }

    /**
     * Returns the requests at the backend server: those of this process, or those in its recent load report if they are
     * more.
     */
    int requests(long nowNanos) {
        BackendLoad reported = load;
        if (reported == null || nowNanos - loadReportNanos > LOAD_VALID_NANOS) {
            return openRequests;
        }
        return Math.max(openRequests, reported.running() + reported.waiting());
    }

    /** Returns the requests of other processes at the backend server according to its recent load report. */
    int otherRequests(long nowNanos) {
        return requests(nowNanos) - openRequests;
    }

    /** Returns the estimates for the service of this server. */
    public EngineEstimates estimates() {
        return estimates;
    }

    /** Returns the speed of this run. */
    public ServerSpeed speed() {
        return speed;
    }

    /** Returns the times of requests to the service of this server. */
    WorkTimes workTimes() {
        return workTimes;
    }

    /** Returns the number of requests that the server runs at once. */
    int slots() {
        return load == null || load.slots() == 0 ? entry.slots() : load.slots();
    }

    /** Returns whether the server has reported its load. */
    boolean hasReportedLoad() {
        return load != null;
    }

    /** Reports the speed of a server that states the load of its machine, and logs a change that lasts. */
    void reportSpeed(SpeedListener listener, long nowNanos) {
        if (!speed.isReported(nowNanos)) {
            return;
        }
        double slowness = speed.meanSlowness(nowNanos);
        listener.onSlowness(entry.service(), slowness);
        if (slownessWatch.update(slowness, nowNanos)) {
            LOG.infof(
                    "Backend server %s of service %s is %s: its work takes %.2f times as long as usual",
                    id(), entry.service(), slownessWatch.isSlow() ? "slow" : "no longer slow", slowness);
        }
    }

    /** Returns the estimated prompt queue of a prefill server. */
    public PromptQueue promptQueue() {
        return promptQueue;
    }

    /**
     * Counts memory that is requested or granted; each call must be followed by exactly one call of
     * {@link #onReserveEnd}.
     */
    public void onReserve(long tokens) {
        memoryTokens += tokens;
    }

    /** Subtracts what {@link #onReserve} has counted. */
    public void onReserveEnd(long tokens) {
        memoryTokens -= tokens;
    }

    /** Records that the backend server had no memory for the given number of tokens. */
    public void onMemoryFull(long tokens, long nowNanos) {
        memoryFullEndNanos = nowNanos + MEMORY_FULL_NANOS;
        refusedTokens = tokens;
        memoryRefusalNanos = nowNanos;
        isMemoryRefused = true;
    }

    /** Records that a request has ended at this backend server and its memory was released. */
    public void onMemoryReleased() {
        memoryFullEndNanos = Long.MIN_VALUE / 2;
        isMemoryRefused = false;
    }

    /** Records that the address now belongs to another backend server; this run is not used any more. */
    public void onReplaced() {
        isReplaced = true;
    }

    boolean lacksMemory(long tokens, long nowNanos) {
        return nowNanos < memoryFullEndNanos && tokens >= refusedTokens;
    }

    /**
     * Returns whether the server is likely to have no memory for the tokens: it has refused as much within a part of
     * the time of a run, and other processes take what becomes free.
     */
    boolean likelyLacksMemory(long tokens, long nowNanos) {
        return isMemoryRefused
                && tokens >= refusedTokens
                && nowNanos - memoryRefusalNanos < estimates.meanRunMs() * LIKELY_FULL_RUN_SHARE * NANOS_PER_MS;
    }

    long promptTokens() {
        return promptTokens;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    /**
     * An idle connection that can be reused.
     *
     * @param channel the connection
     * @param expiryNanos time after which the connection is not reused, because the backend server may close it
     */
    record IdleConnection(Channel channel, long expiryNanos) {}
}
