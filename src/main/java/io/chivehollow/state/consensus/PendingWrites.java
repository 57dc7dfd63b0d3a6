package io.chivehollow.state.consensus;

import java.util.List;

import io.chivehollow.state.log.LogEntry;
import io.chivehollow.state.log.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * The changes that a member must make durable, in this order, before messages that depend on them are sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isVoteChanged whether the term or the vote has changed
 * @param term current term
 * @param vote member that received the vote in this term, or an empty string
 * @param receivedSnapshot received snapshot that replaces the log, or null
 * @param entries entries to append; they replace all stored entries from their first index on
 */
record PendingWrites(
        boolean isVoteChanged, long term, String vote, @Nullable Snapshot receivedSnapshot, List<LogEntry> entries) {

    boolean isEmpty() {
        return !isVoteChanged && receivedSnapshot == null && entries.isEmpty();
    }
}
