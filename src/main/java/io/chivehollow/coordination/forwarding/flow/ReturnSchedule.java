package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.chivehollow.base.TeamId;

/**
 * Tells callers that were refused for their team's rate when tokens are expected for them.
 *
 * <p>Answers the load of a team that is over its rate for seconds: callers that all come back after the time of one
 * request are refused again. Each refused request gets a place behind those of its team and service before it, in a
 * line that moves at this process's share of the rate. Services have lines of their own, because the lender meets small
 * needs before large ones. Used on the event loop of the forwarding role only.
 */
final class ReturnSchedule {

    /** Length of a line; callers wait at most a third of their time, which is 4.7 s of 14 s. */
    private static final long MAX_LINE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private final LongSupplier nanoTime;
    private final IntSupplier processes;
    private final Map<Line, Long> lineEndNanos = new HashMap<>();

    ReturnSchedule(LongSupplier nanoTime, IntSupplier processes) {
        this.nanoTime = nanoTime;
        this.processes = processes;
    }

    /**
     * Adds a refused request to a line.
     *
     * @param team the team
     * @param service the service
     * @param costMs time in which the team's whole rate pays for the request
     * @return time after which its caller should come back
     */
    long retryMs(TeamId team, String service, long costMs) {
        Line line = new Line(team, service);
        long now = nanoTime.getAsLong();
        long start = Math.max(now, lineEndNanos.getOrDefault(line, now));
        long costNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(costMs, Integer.MAX_VALUE)) * processes.getAsInt();
        long end = Math.min(start + costNanos, now + MAX_LINE_NANOS);
        lineEndNanos.put(line, end);
        return Math.max(costMs, TimeUnit.NANOSECONDS.toMillis(end - now));
    }

    /** The refused requests of one team for one service. */
    private record Line(TeamId team, String service) {}
}
