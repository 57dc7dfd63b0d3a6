package io.chivehollow.coordination.forwarding.backend;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.adapter.UnreadableLoad;
import org.jboss.logging.Logger;

/**
 * What one run of a backend server has stated about itself in its responses.
 *
 * <p>Invariant: a run that leaves is leaving until its end, and the end of the time for which it
 * wants no requests is never moved forward. Used on the event loop of the forwarding role only.
 */
final class ServerNotice {

    /** A time that is extended by less is not reported again; the requests under way are refused one after another. */
    private static final long REPORTED_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final Logger LOG = Logger.getLogger(ServerNotice.class);

    private final String id;
    private final ServerChanges changes;
    private boolean isLeaving;
    private long holdEndNanos;
    private boolean isHoldStated;
    private final Set<UnreadableLoad.Reason> loggedReasons = EnumSet.noneOf(UnreadableLoad.Reason.class);

    ServerNotice(String id, ServerChanges changes) {
        this.id = id;
        this.changes = changes;
    }

    void onLeaving() {
        if (!isLeaving) {
            isLeaving = true;
            LOG.infof("Backend server %s states that it leaves and gets no more requests", id);
            changes.onLeaving();
        }
    }

    /** Records for how many milliseconds the run wants no requests; a shorter time does not replace a longer one. */
    void onHeld(long timeMs, long nowNanos) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(timeMs);
        long extensionNanos = endNanos - (heldNanos(nowNanos) > 0 ? holdEndNanos : nowNanos);
        if (extensionNanos <= 0) {
            return;
        }
        if (heldNanos(nowNanos) == 0 || extensionNanos >= REPORTED_EXTENSION_NANOS) {
            LOG.infof("Backend server %s wants no requests and gets none for %d ms", id, timeMs);
            changes.onHeld();
        }
        holdEndNanos = endNanos;
        isHoldStated = true;
    }

    /** Records a load report that cannot be read as a whole; each reason is logged once for the run. */
    void onLoadUnreadable(UnreadableLoad unreadable) {
        changes.onLoadUnreadable(unreadable.reason());
        if (loggedReasons.add(unreadable.reason())) {
            LOG.warnf(
                    "Backend server %s reports a load that cannot be read (%s): \"%s\"",
                    id, unreadable.reason().metricName(), unreadable.text());
        }
    }

    /** Returns the time for which the run still wants no requests, or 0. */
    long heldNanos(long nowNanos) {
        return isHoldStated ? Math.max(0, holdEndNanos - nowNanos) : 0;
    }

    boolean isLeaving() {
        return isLeaving;
    }
}
