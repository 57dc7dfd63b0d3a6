package io.chivehollow.coordination.forwarding.pressure;

import java.util.concurrent.TimeUnit;

import io.chivehollow.settings.ProcessLimits;

/**
 * Measures how much of its processor, link and descriptors a process uses, relative to bounds from which on new
 * requests harm those that are open.
 *
 * <p>Invariant: a resource whose limit is not known is never overloaded. Time is passed in. Not thread-safe.
 */
public final class ProcessLoad {

    /** Time in milliseconds between two calls of {@link #onTick}. */
    public static final long TICK_MS = 200;

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MS);

    /** A longer pause between two events counts as this time, because it is not the load that stops the process. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Share of the shortest target time of a response that may pass before the event loop sees the request. */
    private static final double TARGET_SHARE = 0.25;

    /** Used while no deployment states a target time. */
    private static final long DEFAULT_TARGET_MS = 1_000;

    /** A processor share may be a part of each period of this length; the process stands still for the rest of it. */
    private static final double QUOTA_PERIOD_MS = 100;

    /** Weight of the newest of several measurements of the link. */
    private static final double LINK_WEIGHT = 0.3;

    /** From this share of the link's rate on, queues grow in front of it. */
    private static final double LINK_SHARE = 0.9;

    /** Descriptors for files, listeners and connections to other instances. */
    private static final int RESERVED_DESCRIPTORS = 256;

    /** From this share of the descriptors on, responses end their connections. */
    private static final double DESCRIPTORS_SHORT_SHARE = 0.9;

    /** From this share of the descriptors on, requests are refused; the rest is for connections that are accepted. */
    private static final double DESCRIPTORS_SHARE = 0.95;

    private static final double BITS_PER_MB_OF_LINK = 1e6 / 8;
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_S = 1e9;

    private final ProcessLimits limits;
    private final double linkBytesPerSecond;
    private final int maxConnections;
    private long lastTickNanos;
    private long lastEventNanos;
    private long latenessNanos;
    private long overdueNanos;
    private long lastDelayNanos;
    private long delayNanos;
    private long linkBytes;
    private double linkRate;
    private int connections;
    private double maxDelayMs;

    private ProcessLoad(ProcessLimits limits, long nowNanos) {
        this.limits = limits;
        this.linkBytesPerSecond = limits.linkMbps() * BITS_PER_MB_OF_LINK;
        this.maxConnections = limits.maxDescriptors() == 0
                ? Integer.MAX_VALUE
                : Math.max(1, limits.maxDescriptors() - RESERVED_DESCRIPTORS);
        this.lastTickNanos = nowNanos;
        this.lastEventNanos = nowNanos;
        this.maxDelayMs = maxDelayMs(0);
    }

    /** Returns a load without measurements, at the given monotonic time in nanoseconds. */
    public static ProcessLoad create(ProcessLimits limits, long nowNanos) {
        return new ProcessLoad(limits, nowNanos);
    }

    /** Counts bytes that cross the link in one direction. */
    public void onLinkBytes(long bytes) {
        linkBytes += bytes;
    }

    /** Records that the event loop processes an event, which shows that it is not stopped. */
    public void onEvent(long nowNanos) {
        long sinceNanos = Math.max(lastEventNanos, lastTickNanos + TICK_NANOS);
        if (nowNanos > sinceNanos) {
            overdueNanos += Math.min(nowNanos - sinceNanos, MAX_PAUSE_NANOS);
        }
        lastEventNanos = nowNanos;
    }

    /**
     * Records the periodic timer; must be called on the event loop {@link #TICK_MS} after the end of the last call.
     *
     * @param openConnections number of open connections to callers and backend servers
     * @param shortestTargetMs shortest target time of the deployment's routes, 0 if it is not known
     */
    public void onTick(long nowNanos, int openConnections, long shortestTargetMs) {
        onEvent(nowNanos);
        latenessNanos = overdueNanos;
        overdueNanos = 0;
        double rate = linkBytes * NANOS_PER_S / Math.max(1, nowNanos - lastTickNanos);
        linkRate += LINK_WEIGHT * (rate - linkRate);
        linkBytes = 0;
        lastTickNanos = nowNanos;
        maxDelayMs = maxDelayMs(shortestTargetMs);
        connections = openConnections;
    }

    /** Updates the delay of the event loop; called every {@link #TICK_MS}, also while the timer is overdue. */
    public void measureDelay() {
        long newDelayNanos = Math.max(latenessNanos, overdueNanos);
        // A single late timer shows a pause and not a queue.
        delayNanos = Math.min(lastDelayNanos, newDelayNanos);
        lastDelayNanos = newDelayNanos;
    }

    private double maxDelayMs(long shortestTargetMs) {
        double pauseMs = limits.processorShare() > 0 ? Math.max(0, 1 - limits.processorShare()) * QUOTA_PERIOD_MS : 0;
        return TARGET_SHARE * (shortestTargetMs > 0 ? shortestTargetMs : DEFAULT_TARGET_MS) + pauseMs;
    }

    /** Returns the use of a resource; above 1, new requests harm those that are open. */
    public double use(Resource resource) {
        return switch (resource) {
            case PROCESSOR -> limits.processorShare() > 0 ? delayMs() / maxDelayMs : 0;
            case LINK -> linkBytesPerSecond > 0 ? linkRate / (linkBytesPerSecond * LINK_SHARE) : 0;
            case DESCRIPTORS -> connections / (maxConnections * DESCRIPTORS_SHARE);
        };
    }

    /** Returns the greatest use of the resources whose use is a level and not a delay. */
    public double levelUse() {
        return Math.max(use(Resource.LINK), use(Resource.DESCRIPTORS));
    }

    /** Returns the resource of which most is used. */
    public Resource scarcest() {
        Resource scarcest = Resource.PROCESSOR;
        for (Resource resource : Resource.values()) {
            scarcest = use(resource) > use(scarcest) ? resource : scarcest;
        }
        return scarcest;
    }

    /** Returns whether so many descriptors are in use that responses should end their connections. */
    public boolean areDescriptorsShort() {
        return connections > maxConnections * DESCRIPTORS_SHORT_SHARE;
    }

    /** Returns the time in milliseconds for which events have waited for the event loop in two measurements. */
    public double delayMs() {
        return delayNanos / NANOS_PER_MS;
    }
}
