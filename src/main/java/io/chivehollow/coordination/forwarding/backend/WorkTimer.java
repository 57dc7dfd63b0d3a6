package io.chivehollow.coordination.forwarding.backend;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;
import io.chivehollow.coordination.forwarding.speed.ExpectedTime;
import io.chivehollow.coordination.forwarding.speed.ServerSpeed;
import io.chivehollow.coordination.forwarding.speed.WorkTimes;

/**
 * Measures one run of a request, from which the speed of its server is learnt.
 *
 * <p>A plain server shows its speed by the time to the first byte; a decode server by the time between events, because
 * the first event waits for the transfer of the KV cache. Used on the event loop of the forwarding role only.
 */
public final class WorkTimer {

    /** Events of a run whose mean interval shows the speed of the server. */
    private static final int MIN_EVENTS = 8;

    private static final double NANOS_PER_MS = 1e6;

    private final Backend backend;
    private final boolean isPrefilled;
    private final double queueFactor;
    private final long startNanos;
    private long firstOutputNanos;
    private boolean hasOutput;
    private boolean isPaused;

    private WorkTimer(Backend backend, boolean isPrefilled, long nowNanos) {
        this.backend = backend;
        this.isPrefilled = isPrefilled;
        this.queueFactor = ExpectedTime.queueFactor(backend.requests(nowNanos), backend.slots());
        this.startNanos = nowNanos;
    }

    /**
     * Starts to measure, before the request is counted at the server.
     *
     * @param isPrefilled whether no prompt is processed before the first output
     */
    public static WorkTimer start(Backend backend, boolean isPrefilled, long nowNanos) {
        return new WorkTimer(backend, isPrefilled, nowNanos);
    }

    /** Records the first byte or event of a successful response. */
    public void onFirstOutput(long nowNanos) {
        hasOutput = true;
        firstOutputNanos = nowNanos;
        double observedMs = (nowNanos - startNanos) / NANOS_PER_MS;
        WorkTimes times = backend.workTimes();
        if (backend.role() == Role.DECODE) {
            if (isPrefilled) {
                times.onFirstOutput(observedMs);
            }
            return;
        }
        ServerSpeed speed = backend.speed();
        boolean isKnown = times.isFirstOutputKnown();
        times.onFirstOutput(observedMs / queueFactor / speed.slowness(nowNanos));
        if (isKnown) {
            speed.onWork(times.firstOutputMs() * queueFactor, observedMs, nowNanos);
        }
    }

    /** Records that the response was not read for a while, so that its duration shows nothing. */
    public void onPaused() {
        isPaused = true;
    }

    /** Records the end of a complete response with the given number of events. */
    public void onEnd(int events, long nowNanos) {
        if (!hasOutput || isPaused || events < MIN_EVENTS || backend.role() != Role.DECODE) {
            return;
        }
        double intervalMs = (nowNanos - firstOutputNanos) / NANOS_PER_MS / (events - 1);
        ServerSpeed speed = backend.speed();
        WorkTimes times = backend.workTimes();
        double expectedMs = times.eventIntervalMs();
        times.onEventInterval(intervalMs / speed.slowness(nowNanos));
        if (expectedMs > 0) {
            speed.onWork(expectedMs, intervalMs, nowNanos);
        }
    }
}
