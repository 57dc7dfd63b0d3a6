package io.chivehollow.replay;

/**
 * The safeguards of the simulated chivehollow router that are enabled. Tests disable one of them to show that the
 * guarantee that it provides fails without it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param releaseMemory releases memory when the caller cancels or disconnects
 * @param coldStartRamp limits the requests on a cold engine
 * @param refuseWhenOutOfService excludes servers of failure domains that are out of service
 * @param fairShare shares queues and decode memory between the teams by weight
 */
record ReplaySafeguards(
        boolean releaseMemory, boolean coldStartRamp, boolean refuseWhenOutOfService, boolean fairShare) {

    static final ReplaySafeguards ALL = new ReplaySafeguards(true, true, true, true);
}
