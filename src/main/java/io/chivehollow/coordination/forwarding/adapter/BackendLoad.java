package io.chivehollow.coordination.forwarding.adapter;

import java.util.OptionalInt;

/**
 * The load that a backend server reports with a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots number of requests that can run at the same time
 * @param machinePercent how long work takes on the server's machine at this moment, in percent of the usual time; empty
 *     if not stated
 */
public record BackendLoad(int running, int waiting, int slots, OptionalInt machinePercent) {

    /** Creates the load of a server that does not state the speed of its machine. */
    public BackendLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }
}
