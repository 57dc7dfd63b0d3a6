package io.chivehollow.replay;

/**
 * Counters of one run. Not thread-safe.
 */
final class RunStats {

    /** Time that the engines spent on prefills. */
    long prefillUs;

    /**
     * Part of {@link #prefillUs} whose result was never used, except where the caller had cancelled or disconnected.
     */
    long wastedPrefillUs;

    /** Decode starts on a cold engine beyond its cold capacity. */
    int coldOverloads;

    /** Requests accepted by servers of a failure domain more than 3 s after it was taken out of service. */
    int acceptedInDomainOut;

    /** Longest time for which memory stayed allocated after the caller had cancelled or disconnected. */
    long longestHeldUs;

    private double occupancySum;
    private int occupancySamples;

    void addOccupancy(double occupancy) {
        occupancySum += occupancy;
        occupancySamples++;
    }

    double meanOccupancy() {
        return occupancySamples == 0 ? 0 : occupancySum / occupancySamples;
    }

    void onMemoryReleased(Request request, long nowUs) {
        if (request.outcome == Request.Outcome.CANCELLED) {
            longestHeldUs = Math.max(longestHeldUs, nowUs - request.endedUs);
        }
    }
}
