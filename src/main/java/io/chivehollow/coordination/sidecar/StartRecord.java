package io.chivehollow.coordination.sidecar;

/**
 * Position of a sidecar's start in the replicated log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param logIndex index of the log entry that was appended for the start of the sidecar
 * @param fencingNumber fencing number that is higher than all numbers issued before the start
 */
public record StartRecord(long logIndex, long fencingNumber) {}
