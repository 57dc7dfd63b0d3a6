package io.chivehollow.coordination.forwarding.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Orders the waiting requests of one service by urgency.
 *
 * <p>Requests are ordered by rank, which improves while they wait; a last try precedes all others at the end of its
 * wait, so that none waits for ever. Within a rank, those that can still meet their target precede the others, teams
 * that have received less in relation to their share precede those that have received more, and among the rest the one
 * that has to start first precedes. A request that fits passes one that does not.
 *
 * <p>Other processes have queues of their own for the same servers. So that the order holds among them too, a request
 * that was refused is tried again after a pause that grows with its rank: what a server releases is most likely found
 * by the most urgent request of all processes. Once capacity has run out, a request also starts only where a multiple
 * of its size is free, which grows with its rank, so that room for large urgent requests can accumulate. Not
 * thread-safe.
 *
 * @param <T> what waits
 */
public final class RequestOrder<T> {

    /** Time in nanoseconds for which capacity counts as scarce after a refusal; the next request may be as far off. */
    private static final long SCARCE_NANOS = 2_000_000_000L;

    /** Capacity that must be free in addition for each rank, relative to the size of the request. */
    private static final double HEADROOM_PER_RANK = 0.5;

    /** Share of a server's capacity up to which more than the size of the request itself may be required. */
    private static final double MAX_REQUIRED_SHARE = 0.75;

    /** Pause in nanoseconds between two attempts of the most urgent requests; runs end about as often at full load. */
    private static final double MIN_PAUSE_NANOS = 25e6;

    /** Ratio of the pauses of two successive ranks; several processes compete for what a server releases. */
    private static final double PAUSE_RATIO = 3;

    private static final double MAX_PAUSE_NANOS = 400e6;

    /** Ranks by which a late request pauses longer, so that it rarely takes what another one needs to be on time. */
    private static final int LATE_PAUSE_RANKS = 2;

    /** Ranks by which a request yields whose team has received much more than its share. */
    private static final int EXCESS_RANKS = 2;

    private final Map<T, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<T, Long> dueNanos = new HashMap<>();
    private final Set<T> tried = new HashSet<>();
    private final Map<Integer, TeamShares> shares = new HashMap<>();
    private final GrantRate rate = new GrantRate();
    private long scarceEndNanos;
    private boolean wasScarce;

    private RequestOrder() {}

    /** Returns an empty order. */
    public static <T> RequestOrder<T> create() {
        return new RequestOrder<>();
    }

    /** Adds a request. */
    public void add(T item, WaitingRequest request, long nowNanos) {
        waiting.put(item, request);
        rate.onWaiting(true, nowNanos);
    }

    /** Records whether a server is being asked for a request, which is no candidate meanwhile. */
    public void setTried(T item, boolean isTried) {
        if (isTried) {
            tried.add(item);
        } else {
            tried.remove(item);
        }
    }

    /** Removes a request that is served or no longer waits. */
    public void remove(T item, long nowNanos) {
        waiting.remove(item);
        tried.remove(item);
        dueNanos.remove(item);
        rate.onWaiting(!waiting.isEmpty(), nowNanos);
    }

    /** Returns whether no request waits. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns the requests for which no server is being asked. */
    public List<T> untried() {
        return waiting.keySet().stream().filter(item -> !tried.contains(item)).toList();
    }

    /** Records that a request was served. */
    public void onServed(WaitingRequest request, long nowNanos) {
        sharesOf(request).onServed(request.urgency(), request.size(), nowNanos);
        rate.onGrant(nowNanos);
    }

    /** Records that a server had no capacity for a request. */
    public void onRefused(long nowNanos) {
        wasScarce = true;
        scarceEndNanos = nowNanos + SCARCE_NANOS;
    }

    /**
     * Returns the capacity that must be free where the request starts.
     *
     * @param request the request
     * @param serverSize capacity of one server, 0 if it is not known
     * @param nowNanos the current time
     */
    public long requiredSize(WaitingRequest request, long serverSize, long nowNanos) {
        if (!wasScarce || nowNanos - scarceEndNanos > 0) {
            return request.size();
        }
        double ranks = request.agedRank(nowNanos) + lateRanks(request, nowNanos, 1) + excessRanks(request, nowNanos);
        double required = request.size() * (1 + HEADROOM_PER_RANK * ranks);
        double limit = serverSize > 0 ? serverSize * MAX_REQUIRED_SHARE : required;
        return Math.max(request.size(), (long) Math.min(required, limit));
    }

    /** Returns the requests that may be tried now, the first one first. */
    public List<T> candidates(long nowNanos) {
        List<T> ordered = ordered(nowNanos);
        ordered.removeIf(item -> tried.contains(item) || dueNanos(item, nowNanos) - nowNanos > 0);
        return ordered;
    }

    /** Records that no server has capacity for the request, which is tried again after a pause. */
    public void onUnplaced(T item, long nowNanos) {
        WaitingRequest request = waiting.get(item);
        if (request == null) {
            return;
        }
        int ranks = request.agedRank(nowNanos)
                + lateRanks(request, nowNanos, LATE_PAUSE_RANKS)
                + excessRanks(request, nowNanos);
        double pauseNanos = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS * Math.pow(PAUSE_RATIO, ranks));
        dueNanos.put(item, nowNanos + (long) pauseNanos);
    }

    /** Lets the first request be tried at once, because capacity was released. */
    public void onReleased(long nowNanos) {
        ordered(nowNanos).stream()
                .filter(item -> !tried.contains(item))
                .findFirst()
                .ifPresent(dueNanos::remove);
    }

    /** Returns the time in nanoseconds until a request may be tried again, or the largest value if none waits. */
    public long nextDueNanos(long nowNanos) {
        return waiting.keySet().stream()
                .filter(item -> !tried.contains(item))
                .mapToLong(item -> Math.max(0, dueNanos(item, nowNanos) - nowNanos))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns the requests that are expected not to start in time because of those before them; the least urgent ones
     * are affected first. Late requests are not among them, because their callers do not return once more.
     */
    public List<T> hopeless(long nowNanos) {
        List<T> found = new ArrayList<>();
        int before = 0;
        for (T item : ordered(nowNanos)) {
            WaitingRequest request = waiting.get(item);
            boolean isHopeless = !request.isLate()
                    && !tried.contains(item)
                    && rate.expectedNanos(before, nowNanos) > request.expiryNanos() - nowNanos;
            if (isHopeless) {
                found.add(item);
            } else {
                before++;
            }
        }
        return found;
    }

    /** Returns the number of waiting requests that are served before the request. */
    public int countBefore(T item, long nowNanos) {
        return Math.max(0, ordered(nowNanos).indexOf(item));
    }

    /** Returns the expected time in nanoseconds until all waiting requests are served, 0 if it is not known. */
    public long drainNanos(long nowNanos) {
        return rate.expectedNanos(waiting.size(), nowNanos);
    }

    private List<T> ordered(long nowNanos) {
        List<T> ordered = new ArrayList<>(waiting.keySet());
        Map<T, Double> received = new HashMap<>();
        waiting.forEach((item, request) -> received.put(item, sharesOf(request).received(request.urgency(), nowNanos)));
        ordered.sort(Comparator.comparing((T item) -> !waiting.get(item).isOverdue(nowNanos))
                .thenComparingInt(item -> waiting.get(item).agedRank(nowNanos))
                .thenComparing(item -> waiting.get(item).isLate())
                .thenComparingDouble(received::get)
                .thenComparingLong(item -> waiting.get(item).expiryNanos() - nowNanos));
        return ordered;
    }

    private long dueNanos(T item, long nowNanos) {
        return dueNanos.getOrDefault(item, nowNanos);
    }

    /** Returns the given number for a late request, except at the end of its wait, and 0 for another one. */
    private static int lateRanks(WaitingRequest request, long nowNanos, int ranks) {
        return request.isLate() && !request.isOverdue(nowNanos) ? ranks : 0;
    }

    private int excessRanks(WaitingRequest request, long nowNanos) {
        return sharesOf(request).exceedsShare(request.urgency(), nowNanos) ? EXCESS_RANKS : 0;
    }

    private TeamShares sharesOf(WaitingRequest request) {
        return shares.computeIfAbsent(request.urgency().rank(), rank -> new TeamShares());
    }
}
