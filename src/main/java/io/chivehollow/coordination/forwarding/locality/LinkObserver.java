package io.chivehollow.coordination.forwarding.locality;

import io.chivehollow.base.FailureDomain;

/**
 * Is notified of what calls show about the path to the servers of a failure domain.
 *
 * <p>Called on the event loop of the forwarding role.
 */
public interface LinkObserver {

    /** Ignores all observations. */
    LinkObserver NONE = new LinkObserver() {
        @Override
        public void onConnected(FailureDomain domain, double connectMs, long nowNanos) {}

        @Override
        public void onHeard(FailureDomain domain, long nowNanos) {}

        @Override
        public void onFailure(FailureDomain domain, String server, long nowNanos) {}
    };

    /** Called when a connection to a server of the domain was opened within the given time in milliseconds. */
    void onConnected(FailureDomain domain, double connectMs, long nowNanos);

    /** Called with the head of each response of a server of the domain, whatever its status. */
    void onHeard(FailureDomain domain, long nowNanos);

    /** Called when a call to the server of the domain has failed. */
    void onFailure(FailureDomain domain, String server, long nowNanos);
}
