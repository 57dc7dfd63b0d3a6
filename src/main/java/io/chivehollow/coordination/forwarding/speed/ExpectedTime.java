package io.chivehollow.coordination.forwarding.speed;

/**
 * Expected times of a request at a server that runs a limited number of requests at once.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExpectedTime {

    private ExpectedTime() {}

    /**
     * Returns the time in milliseconds to compare servers by. Each request in front counts with its share of the slots,
     * also while slots are free: a process sees only a part of the requests, and a busier server is slower.
     *
     * @param workMs time of the request at a usual server that has nothing else to do
     * @param slowness how much longer work takes at this server
     * @param requestsInFront requests at the server
     * @param slots number of requests that the server runs at once
     */
    public static double ms(double workMs, double slowness, int requestsInFront, int slots) {
        return workMs * slowness * (1 + (double) requestsInFront / Math.max(1, slots));
    }

    /** Returns by which factor a request takes longer if those in front that exceed the slots have to end first. */
    public static double queueFactor(int requestsInFront, int slots) {
        int usable = Math.max(1, slots);
        return 1 + (double) Math.max(0, requestsInFront + 1 - usable) / usable;
    }
}
