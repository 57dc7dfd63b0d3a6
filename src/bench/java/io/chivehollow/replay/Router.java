package io.chivehollow.replay;

import io.chivehollow.replay.Trace.Fault;

/**
 * Places requests on the simulated engines.
 *
 * <p>An instance belongs to one run and is used on one thread.
 */
interface Router {

    /** Processes a request that is within its team's rate limit. */
    void onArrival(Request request);

    /** Releases the resources of a request whose caller has cancelled it, timed out, or disconnected. */
    void onCallerDisconnected(Request request);

    /** Applies a fault from the trace. */
    void onFault(Fault fault);

    /**
     * Returns the occupied share of memory or of batch slots, whichever is higher, averaged over the decode engines.
     */
    double decodeOccupancy();
}
