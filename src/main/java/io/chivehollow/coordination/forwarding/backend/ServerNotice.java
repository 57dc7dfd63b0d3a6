package io.chivehollow.coordination.forwarding.backend;

import org.jboss.logging.Logger;

/**
 * What one run of a backend server has stated about itself in its responses.
 *
 * <p>Invariant: a run that leaves is leaving until its end. Used on the event loop of the forwarding role only.
 */
final class ServerNotice {

    private static final Logger LOG = Logger.getLogger(ServerNotice.class);

    private final String id;
    private final ServerChanges changes;
    private boolean isLeaving;

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

    boolean isLeaving() {
        return isLeaving;
    }
}
