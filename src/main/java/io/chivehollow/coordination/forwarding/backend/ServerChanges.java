package io.chivehollow.coordination.forwarding.backend;

/**
 * Is notified when a backend server gets no more requests because of its own responses.
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
    };

    /** Called once for each run of a backend server that states that it leaves. */
    void onLeaving();

    /** Called when a backend server states for how long it wants no requests. */
    void onHeld();
}
