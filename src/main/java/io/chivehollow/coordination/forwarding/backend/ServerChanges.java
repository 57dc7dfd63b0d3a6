package io.chivehollow.coordination.forwarding.backend;

import io.chivehollow.coordination.forwarding.adapter.UnreadableLoad;

/**
 * Is notified of what backend servers state about themselves in their responses.
 *
 * <p>Called on the event loop of the forwarding role.
 */
public interface ServerChanges {

    /** Ignores all changes. */
    ServerChanges NONE = new ServerChanges() {
        @Override
        public void onLeaving() {}

        @Override
        public void onHeld() {}

        @Override
        public void onLoadUnreadable(UnreadableLoad.Reason reason) {}
    };

    /** Called once for each run of a backend server that states that it leaves. */
    void onLeaving();

    /** Called when a backend server states for how long it wants no requests. */
    void onHeld();

    /** Called for each response whose load report cannot be read as a whole. */
    void onLoadUnreadable(UnreadableLoad.Reason reason);
}
