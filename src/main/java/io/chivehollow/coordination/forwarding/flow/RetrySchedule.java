package io.chivehollow.coordination.forwarding.flow;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.chivehollow.base.TeamId;

/**
 * Computes when callers refused because of their team's rate should retry, so that tokens are available for them then.
 *
 * <p>If a team exceeds its rate for seconds and all refused callers retry after the time of one request, they are
 * refused again. Each refused request is therefore scheduled behind the earlier ones of its team and service, in a
 * queue that advances at this process's share of the team's rate. Each service has its own queue, because the lender
 * grants small amounts before large ones. Used on the event loop of the forwarding role only.
 */
final class RetrySchedule {

    /** Longest scheduled delay; callers wait for at most a third of their time, which is 4.7 s of 14 s. */
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private final LongSupplier nanoTime;
    private final IntSupplier processCount;
    private final Map<QueueKey, Long> queueEndNanos = new HashMap<>();

    RetrySchedule(LongSupplier nanoTime, IntSupplier processCount) {
        this.nanoTime = nanoTime;
        this.processCount = processCount;
    }

    /**
     * Schedules the retry of a refused request.
     *
     * @param team the team
     * @param service the service
     * @param costMs time in milliseconds in which the whole rate of the team covers the cost of the request
     * @return time in milliseconds after which the caller should retry
     */
    long retryMs(TeamId team, String service, long costMs) {
        QueueKey queue = new QueueKey(team, service);
        long now = nanoTime.getAsLong();
        long start = Math.max(now, queueEndNanos.getOrDefault(queue, now));
        long costNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(costMs, Integer.MAX_VALUE)) * processCount.getAsInt();
        long end = Math.min(start + costNanos, now + MAX_DELAY_NANOS);
        queueEndNanos.put(queue, end);
        return Math.max(costMs, TimeUnit.NANOSECONDS.toMillis(end - now));
    }

    /** Identifies the queue of the refused requests of one team for one service. */
    private record QueueKey(TeamId team, String service) {}
}
