package io.chivehollow.state.machine;

import java.util.Set;

/**
 * Thresholds at which finished records are moved from memory to a segment file.
 *
 * <p>All members have the same options, because members whose segments differ cannot reuse each other's files.
 * Immutable and thread-safe.
 *
 * @param flushThresholdRecords number of records in memory at which they are moved
 * @param flushThresholdBytes size of these records at which they are moved, in bytes
 * @param disabledSafeguards safeguards that are disabled; empty outside of tests
 */
record RecordOptions(int flushThresholdRecords, long flushThresholdBytes, Set<RecordSafeguard> disabledSafeguards) {

    /** Limits the write during one command, the records in a snapshot and the memory for them to some MB. */
    private static final int DEFAULT_FLUSH_THRESHOLD_RECORDS = 8_192;

    private static final long DEFAULT_FLUSH_THRESHOLD_BYTES = 4 << 20;

    RecordOptions {
        disabledSafeguards = Set.copyOf(disabledSafeguards);
    }

    static RecordOptions defaults() {
        return new RecordOptions(DEFAULT_FLUSH_THRESHOLD_RECORDS, DEFAULT_FLUSH_THRESHOLD_BYTES, Set.of());
    }

    boolean isEnabled(RecordSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }

    /** Safeguards against the loss of records. Tests disable them one by one. */
    enum RecordSafeguard {
        /** A segment is synced before a snapshot refers to it. */
        SYNC_SEGMENTS,
        /** A lookup reads the segments. */
        READ_SEGMENTS
    }
}
