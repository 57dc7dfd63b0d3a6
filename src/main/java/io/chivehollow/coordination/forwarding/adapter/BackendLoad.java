package io.chivehollow.coordination.forwarding.adapter;

/**
 * Load that a backend server reports with an answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots requests that can run at the same time
 */
public record BackendLoad(int running, int waiting, int slots) {}
