package io.chivehollow.state.consensus;

/**
 * An immutable file that a snapshot references.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name in the data folder; files with different content have different names
 * @param sizeBytes size of the file in bytes
 */
public record SnapshotFile(String name, long sizeBytes) {}
