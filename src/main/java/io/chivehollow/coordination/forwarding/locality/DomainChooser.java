package io.chivehollow.coordination.forwarding.locality;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.chivehollow.base.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the failure domain of a request: its own, or another one if leaving pays.
 *
 * <p>Invariants: a request stays if another domain gains no more than the cost. A request that would miss its target at
 * home and can meet it elsewhere leaves. In between, a share of the requests leaves that follows the gain. A domain
 * from which nothing is known, or for which no bytes are left, is used only if no other one has servers. Used on the
 * event loop of the forwarding role only.
 */
final class DomainChooser {

    /** Gain up to which requests stay, as a share of the target; a request is on time with either. */
    static final double MIN_GAIN_TARGET_SHARE = 0.04;

    /** Longest wait with which a request still meets its target; the rest is for its prompt and first output. */
    static final double MAX_WAIT_TARGET_SHARE = 1.0 / 3;

    private final FailureDomain home;
    private final DomainLinks links;
    private final LeavingCost cost;
    private final Map<String, LeavingShare> shares = new HashMap<>();

    DomainChooser(FailureDomain home, DomainLinks links, LeavingCost cost) {
        this.home = home;
        this.links = links;
        this.cost = cost;
    }

    /**
     * Returns the domain for a request of the service, or an empty value if there is no option.
     *
     * @param options the domains with servers that may receive the request
     * @param targetMs time in milliseconds within which the first output is due
     * @param bytes expected size of the request and its response
     * @param isHomeOutOfService whether operators have taken the own domain out of service
     */
    Optional<Choice> choose(
            String service,
            Collection<DomainOption> options,
            double targetMs,
            long bytes,
            boolean isHomeOutOfService,
            long nowNanos) {
        Optional<DomainOption> own =
                options.stream().filter(option -> option.domain().equals(home)).findFirst();
        double ownMs = own.map(DomainOption::waitMs).orElse(Double.POSITIVE_INFINITY);
        DomainOption other = null;
        double otherMs = Double.POSITIVE_INFINITY;
        Obstacle obstacle = Obstacle.NONE;
        for (DomainOption option : options) {
            if (option.domain().equals(home)) {
                continue;
            }
            double costMs = ownMs == Double.POSITIVE_INFINITY
                    ? cost.leavingMsWithoutHome(option.domain(), bytes, nowNanos)
                    : cost.leavingMs(option.domain(), bytes, nowNanos);
            double totalMs = option.waitMs() + costMs;
            if (costMs == Double.POSITIVE_INFINITY && option.waitMs() < ownMs) {
                obstacle = cost.obstacle(option.domain(), bytes, nowNanos);
            }
            if (other == null || totalMs < otherMs || totalMs == otherMs && option.waitMs() < other.waitMs()) {
                other = option;
                otherMs = totalMs;
            }
        }
        if (other == null) {
            return own.map(option -> new Choice(home, null, Obstacle.NONE));
        }
        if (own.isEmpty()) {
            LeaveReason reason = isHomeOutOfService ? LeaveReason.HOME_OUT_OF_SERVICE : LeaveReason.NO_HOME_SERVER;
            return Optional.of(leave(other, reason, nowNanos));
        }
        LeaveReason reason = reason(service, ownMs, otherMs, targetMs, nowNanos);
        return Optional.of(reason == null ? new Choice(home, null, obstacle) : leave(other, reason, nowNanos));
    }

    private Choice leave(DomainOption option, LeaveReason reason, long nowNanos) {
        links.onLeave(option.domain(), nowNanos);
        return new Choice(option.domain(), reason, Obstacle.NONE);
    }

    private @Nullable LeaveReason reason(String service, double ownMs, double otherMs, double targetMs, long nowNanos) {
        LeavingShare share = shares.computeIfAbsent(service, key -> new LeavingShare());
        if (otherMs == Double.POSITIVE_INFINITY) {
            share.moveTowards(0, nowNanos);
            return null;
        }
        double minGainMs = targetMs * MIN_GAIN_TARGET_SHARE;
        double maxWaitMs = targetMs * MAX_WAIT_TARGET_SHARE;
        double gainMs = ownMs - otherMs;
        share.moveTowards(
                Math.max(0, Math.min(1, (gainMs - minGainMs) / Math.max(1, maxWaitMs - minGainMs))), nowNanos);
        if (ownMs == Double.POSITIVE_INFINITY) {
            return LeaveReason.HOME_FULL;
        }
        if (gainMs <= minGainMs) {
            return null;
        }
        if (ownMs > maxWaitMs && otherMs <= maxWaitMs) {
            return LeaveReason.HOME_SLOW;
        }
        return share.takeNext() ? LeaveReason.HOME_BUSY : null;
    }

    /** Returns the share of the service's requests that leaves while the own domain can still serve them in time. */
    double share(String service) {
        LeavingShare share = shares.get(service);
        return share == null ? 0 : share.value();
    }

    /**
     * The domain of a request.
     *
     * @param domain the failure domain
     * @param reason why the request leaves, or null if it stays
     * @param obstacle why a domain with room was not considered for a request that stays
     */
    record Choice(FailureDomain domain, @Nullable LeaveReason reason, Obstacle obstacle) {}
}
