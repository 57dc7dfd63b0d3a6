package io.chivehollow.coordination.forwarding.locality;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.FailureDomain;
import org.jboss.logging.Logger;

/**
 * The state of the paths to the failure domains, as far as the calls of this process show it.
 *
 * <p>Invariant: a domain counts as cut off from the failures of several of its servers until one of them responds. Used
 * on the event loop of the forwarding role only.
 */
final class DomainLinks implements LinkObserver {

    /** Servers that must have failed since the last response; one server alone may have crashed. */
    static final int MIN_FAILED_SERVERS = 2;

    /** Age up to which a response shows that the figures of its domain are current; load changes within seconds. */
    static final long HEARD_VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Interval of the trials of a domain whose figures are old; a response takes some hundred milliseconds. */
    static final long OLD_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Interval of the trials of a domain that is cut off; a trial delays a request by the connect timeout. */
    static final long CUT_OFF_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Age up to which a delay counts; connections are reused, so that few are opened. */
    static final long DELAY_VALID_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Round trip that is assumed while it is not known: that between two sites of one region. */
    static final double DEFAULT_DELAY_MS = 5;

    /** Weight of a new delay; a lost packet delays single connections by a second. */
    private static final double DELAY_WEIGHT = 0.25;

    /** Limits the weight of a single delay, as a multiple of the mean. */
    private static final double MAX_DELAY_FACTOR = 4;

    private static final Logger LOG = Logger.getLogger(DomainLinks.class);

    private final FailureDomain home;
    private final Map<FailureDomain, Link> links = new HashMap<>();

    DomainLinks(FailureDomain home) {
        this.home = home;
    }

    @Override
    public void onConnected(FailureDomain domain, double connectMs, long nowNanos) {
        Link link = link(domain);
        boolean isFirst = !link.hasDelay || nowNanos - link.delayNanos > DELAY_VALID_NANOS;
        double limitedMs = isFirst ? connectMs : Math.min(connectMs, Math.max(1, link.delayMs) * MAX_DELAY_FACTOR);
        link.delayMs = isFirst ? limitedMs : link.delayMs + (limitedMs - link.delayMs) * DELAY_WEIGHT;
        link.delayNanos = nowNanos;
        link.hasDelay = true;
    }

    @Override
    public void onHeard(FailureDomain domain, long nowNanos) {
        Link link = link(domain);
        if (link.isCutOff()) {
            LOG.infof("Servers of failure domain %s respond again", domain);
        }
        link.failedServers.clear();
        link.heardNanos = nowNanos;
        link.hasHeard = true;
        link.hasTrial = false;
    }

    @Override
    public void onFailure(FailureDomain domain, String server, long nowNanos) {
        Link link = link(domain);
        boolean wasCutOff = link.isCutOff();
        link.failedServers.add(server);
        if (link.isCutOff() && !wasCutOff) {
            // The failures themselves were the last trial.
            link.hasTrial = true;
            link.trialNanos = nowNanos;
            LOG.infof(
                    "Failure domain %s counts as cut off: %d of its servers have failed since the last response",
                    domain, link.failedServers.size());
        }
    }

    /** Returns the additional round trip in milliseconds to a server of the domain. */
    double additionalDelayMs(FailureDomain domain, long nowNanos) {
        Link remote = link(domain);
        Link own = link(home);
        if (!remote.isDelayKnown(nowNanos)) {
            return DEFAULT_DELAY_MS;
        }
        return Math.max(0, remote.delayMs - (own.isDelayKnown(nowNanos) ? own.delayMs : 0));
    }

    /** Returns why nothing may leave for the domain now, or {@link Obstacle#NONE}. */
    Obstacle obstacle(FailureDomain domain, long nowNanos) {
        Link link = link(domain);
        if (link.isCutOff()) {
            return link.isTrialDue(CUT_OFF_TRIAL_NANOS, nowNanos) ? Obstacle.NONE : Obstacle.CUT_OFF;
        }
        boolean isCurrent = link.hasHeard && nowNanos - link.heardNanos <= HEARD_VALID_NANOS;
        return isCurrent || link.isTrialDue(OLD_TRIAL_NANOS, nowNanos) ? Obstacle.NONE : Obstacle.OLD_FIGURES;
    }

    /** Records that a request leaves for the domain, which is the trial if one was due. */
    void onLeave(FailureDomain domain, long nowNanos) {
        Link link = link(domain);
        boolean isCurrent = link.hasHeard && nowNanos - link.heardNanos <= HEARD_VALID_NANOS;
        if (link.isCutOff() || !isCurrent) {
            link.hasTrial = true;
            link.trialNanos = nowNanos;
        }
    }

    private Link link(FailureDomain domain) {
        return links.computeIfAbsent(domain, key -> new Link());
    }

    private static final class Link {

        private final Set<String> failedServers = new HashSet<>();
        private double delayMs;
        private long delayNanos;
        private boolean hasDelay;
        private long heardNanos;
        private boolean hasHeard;
        private long trialNanos;
        private boolean hasTrial;

        boolean isCutOff() {
            return failedServers.size() >= MIN_FAILED_SERVERS;
        }

        boolean isDelayKnown(long nowNanos) {
            return hasDelay && nowNanos - delayNanos <= DELAY_VALID_NANOS;
        }

        boolean isTrialDue(long intervalNanos, long nowNanos) {
            return !hasTrial || nowNanos - trialNanos >= intervalNanos;
        }
    }
}
