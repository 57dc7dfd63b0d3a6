package io.chivehollow.coordination.forwarding.adapter;

/**
 * The load that a backend server reports with a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots number of requests that can run at the same time
 */
public record BackendLoad(int running, int waiting, int slots) {}
