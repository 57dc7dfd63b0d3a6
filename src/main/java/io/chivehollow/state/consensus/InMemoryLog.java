package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.state.log.LogEntry;
import io.chivehollow.state.log.Snapshot;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkState;

/**
 * The log entries that a member retains in memory, and the memberships that they contain.
 *
 * <p>Invariants: indexes are contiguous; terms do not decrease; every entry after the latest snapshot is present. Used
 * by one thread at a time.
 */
final class InMemoryLog {

    private final List<LogEntry> entries = new ArrayList<>();

    /** Membership changes, oldest first; the first one may come from a snapshot. */
    private final List<MembershipChange> membershipChanges = new ArrayList<>();

    private long sizeBytes;
    private long baseIndex;
    private long baseTerm;

    InMemoryLog(@Nullable Snapshot snapshot, List<LogEntry> recovered) {
        if (snapshot != null) {
            reset(snapshot);
        }
        recovered.forEach(this::append);
    }

    long baseIndex() {
        return baseIndex;
    }

    long sizeBytes() {
        return sizeBytes;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    boolean contains(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    long termAt(long index) {
        return index == baseIndex ? baseTerm : entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns the members as of the last entry, or null if the log contains no membership. */
    @Nullable
    Members members() {
        return membershipChanges.isEmpty()
                ? null
                : membershipChanges.get(membershipChanges.size() - 1).members();
    }

    /** Returns the membership before the current one, or null if it is not stored. */
    @Nullable
    Members previousMembers() {
        return membershipChanges.size() < 2
                ? null
                : membershipChanges.get(membershipChanges.size() - 2).members();
    }

    /** Returns the index of the entry or snapshot that contains the current membership, or 0 if there is none. */
    long membershipIndex() {
        return membershipChanges.isEmpty()
                ? 0
                : membershipChanges.get(membershipChanges.size() - 1).index();
    }

    /** Returns the members as of an index, which must not be before the first stored membership. */
    Members membersAt(long index) {
        Members found = null;
        for (MembershipChange change : membershipChanges) {
            if (change.index() <= index) {
                found = change.members();
            }
        }
        checkState(found != null, "The log contains no membership at or before index %s", index);
        return found;
    }

    void append(LogEntry entry) {
        checkState(
                entry.index() == lastIndex() + 1,
                "Entry %s does not follow the last entry %s",
                entry.index(),
                lastIndex());
        entries.add(entry);
        sizeBytes += entry.data().length;
        if (entry.kind() == LogEntry.EntryKind.MEMBERSHIP) {
            membershipChanges.add(new MembershipChange(entry.index(), Members.decode(entry.data())));
        }
    }

    /** Removes the entry at the index and all later ones. */
    void truncateFrom(long index) {
        remove((int) (index - baseIndex - 1), entries.size());
        membershipChanges.removeIf(change -> change.index() >= index);
    }

    /**
     * Returns entries from the index on, until their total size reaches {@code maxBytes}. Returns at least one if there
     * is any; the last one may exceed that size. Each entry counts 32 bytes more than its data.
     */
    List<LogEntry> slice(long from, long maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long sizeBytes = 0;
        for (long index = from; index <= lastIndex() && sizeBytes < maxBytes; index++) {
            LogEntry entry = entry(index);
            slice.add(entry);
            sizeBytes += entry.data().length + 32;
        }
        return slice;
    }

    /** Returns the entry at the index and all later ones. */
    List<LogEntry> entriesFrom(long index) {
        return new ArrayList<>(entries.subList((int) (index - baseIndex - 1), entries.size()));
    }

    /** Removes the entries up to and including the index; does nothing if they are already compacted. */
    void compactTo(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = termAt(index);
        remove(0, (int) (index - baseIndex));
        baseIndex = index;
        baseTerm = term;
        while (membershipChanges.size() > 1 && membershipChanges.get(1).index() <= index) {
            membershipChanges.remove(0);
        }
    }

    /** Removes all entries and sets the index, the term and the membership to those of a snapshot. */
    void reset(Snapshot snapshot) {
        entries.clear();
        sizeBytes = 0;
        membershipChanges.clear();
        baseIndex = snapshot.index();
        baseTerm = snapshot.term();
        membershipChanges.add(new MembershipChange(snapshot.index(), Members.decode(snapshot.membership())));
    }

    private void remove(int from, int to) {
        List<LogEntry> removed = entries.subList(from, to);
        for (LogEntry entry : removed) {
            sizeBytes -= entry.data().length;
        }
        removed.clear();
    }

    private record MembershipChange(long index, Members members) {}
}
