package io.chivehollow.coordination.forwarding.locality;

import io.chivehollow.base.FailureDomain;

/**
 * Computes the cost of leaving from the delay of the path, the time for the bytes on this instance's link, the state of
 * the path and the byte budget.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class LeavingCost implements DomainCost {

    private static final double BITS_PER_BYTE = 8;

    /** Megabits per second are bits per microsecond, thousands of bits per millisecond. */
    private static final double BITS_PER_MS_OF_MEGABIT_PER_S = 1_000;

    private final FailureDomain home;
    private final DomainLinks links;
    private final ByteBudget budget;
    private final double linkMegabitsPerSecond;

    /** Creates a cost; a link of 0 megabits per second stands for one whose speed is not known. */
    LeavingCost(FailureDomain home, DomainLinks links, ByteBudget budget, double linkMegabitsPerSecond) {
        this.home = home;
        this.links = links;
        this.budget = budget;
        this.linkMegabitsPerSecond = linkMegabitsPerSecond;
    }

    @Override
    public double leavingMs(FailureDomain serverDomain, long bytes, long nowNanos) {
        if (serverDomain.equals(home)) {
            return 0;
        }
        return obstacle(serverDomain, bytes, nowNanos) == Obstacle.NONE
                ? knownMs(serverDomain, bytes, nowNanos)
                : Double.POSITIVE_INFINITY;
    }

    /** Returns the time as {@link #leavingMs} does, for a request that has no server in its own domain to wait for. */
    double leavingMsWithoutHome(FailureDomain serverDomain, long bytes, long nowNanos) {
        Obstacle obstacle = obstacle(serverDomain, bytes, nowNanos);
        return obstacle == Obstacle.NONE || obstacle == Obstacle.OLD_FIGURES
                ? knownMs(serverDomain, bytes, nowNanos)
                : Double.POSITIVE_INFINITY;
    }

    private double knownMs(FailureDomain serverDomain, long bytes, long nowNanos) {
        return links.additionalDelayMs(serverDomain, nowNanos) + sendMs(bytes);
    }

    Obstacle obstacle(FailureDomain domain, long bytes, long nowNanos) {
        return budget.has(bytes, nowNanos) ? links.obstacle(domain, nowNanos) : Obstacle.BUDGET_EXHAUSTED;
    }

    private double sendMs(long bytes) {
        return linkMegabitsPerSecond > 0
                ? bytes * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MS_OF_MEGABIT_PER_S)
                : 0;
    }
}
