package io.chivehollow.coordination.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load of a backend server as its sidecar last reported it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param freeBlocks memory blocks that are not reserved
 * @param totalBlocks total number of memory blocks
 * @param running requests in the engine
 * @param queued requests in the sidecar's queue
 * @param queuedMs estimated service time of the queued work in ms
 * @param rampLimit number of concurrent requests that the cold start ramp allows
 * @param cold whether the cold start ramp is below the full capacity
 * @param draining whether the sidecar rejects new work
 */
public record Load(
        int freeBlocks,
        int totalBlocks,
        int running,
        int queued,
        long queuedMs,
        int rampLimit,
        boolean cold,
        boolean draining) {

    /** Validates the components. */
    public Load {
        checkArgument(
                freeBlocks >= 0 && freeBlocks <= totalBlocks,
                "freeBlocks must be from 0 to totalBlocks (%s), but was %s",
                totalBlocks,
                freeBlocks);
        checkArgument(running >= 0, "running must not be negative, but was %s", running);
        checkArgument(queued >= 0, "queued must not be negative, but was %s", queued);
        checkArgument(queuedMs >= 0, "queuedMs must not be negative, but was %s", queuedMs);
        checkArgument(rampLimit >= 0, "rampLimit must not be negative, but was %s", rampLimit);
    }
}
