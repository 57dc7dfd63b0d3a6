package io.chivehollow.state.log;

/**
 * An entry of the replicated log.
 *
 * <p>Immutable and thread-safe, provided that the data array is not modified.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that created the entry
 * @param kind type of the data
 * @param data encoded content
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {

    /** Type of an entry's data. The ordinal of a constant is stored on disk and sent to other members. */
    public enum EntryKind {
        /** No data; the first entry of a new leader. */
        EMPTY,
        /** A command for the state machine. */
        COMMAND,
        /** A new membership of the group. */
        MEMBERSHIP;

        private static final EntryKind[] VALUES = values();

        /** Returns the kind with the given ordinal. */
        public static EntryKind of(int number) {
            return VALUES[number];
        }
    }
}
