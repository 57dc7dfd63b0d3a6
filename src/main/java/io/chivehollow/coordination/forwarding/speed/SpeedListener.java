package io.chivehollow.coordination.forwarding.speed;

/**
 * Is notified of the speeds of backend servers that state the load of their machines.
 *
 * <p>Called on the event loop of the forwarding role.
 */
public interface SpeedListener {

    /** Ignores all speeds. */
    SpeedListener NONE = new SpeedListener() {
        @Override
        public void onSlowness(String service, double slowness) {}

        @Override
        public void onChoice(String service, boolean isReportCurrent) {}
    };

    /** Called for each server whenever the list of servers is read. */
    void onSlowness(String service, double slowness);

    /**
     * Called when a server was chosen by expected time.
     *
     * @param isReportCurrent whether a report of the chosen server counted; false if its last one had expired
     */
    void onChoice(String service, boolean isReportCurrent);
}
