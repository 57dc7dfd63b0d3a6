package io.chivehollow.state.consensus;

import java.util.concurrent.TimeUnit;

import io.chivehollow.state.consensus.wire.Timing;
import org.jspecify.annotations.Nullable;

/**
 * The replication progress of another member, as tracked by the leader.
 *
 * <p>Invariant: {@code matchIndex < nextIndex}. Used by one thread at a time.
 */
final class ReplicationProgress {

    /** A time before any other, in nanoseconds. Differences to it do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 4;

    final MemberId member;
    long matchIndex;
    long nextIndex;

    /** Send time of the newest message that the member has acknowledged, on the leader's clock. */
    long newestAckedSendNanos = NEVER;

    /** Time of the last reply, or before the first one the time from which on the leader waits for it. */
    long lastReplyNanos = NEVER;

    private boolean hasReplied;

    /** Whether the member has stated in its last reply that it is about to stop. */
    boolean isLeaving;

    long lastSentNanos = NEVER;
    long snapshotSentNanos = NEVER;

    /** Commit index in the last append message to the member. */
    long sentCommitIndex;

    /** Send time of the last message that only carried a new commit index. */
    long commitNoticeNanos = NEVER;

    /** Snapshot that is being sent, or null. */
    @Nullable
    SnapshotStream snapshotStream;

    long snapshotOffset;

    /** Whether it is unknown up to which index the member's log matches; then messages are sent one at a time. */
    boolean isProbing = true;

    boolean isAwaitingProbeReply;
    Timing followerTiming = Timing.getDefaultInstance();

    ReplicationProgress(MemberId member, long nextIndex, long now) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.lastReplyNanos = now;
    }

    Responsiveness responsiveness(long now, ConsensusTimes times) {
        if (now - lastReplyNanos >= TimeUnit.MILLISECONDS.toNanos(times.leaseMs())) {
            return Responsiveness.SILENT;
        }
        return hasReplied ? Responsiveness.RESPONSIVE : Responsiveness.UNKNOWN;
    }

    /** Returns whether the member has replied to this leader within the duration of a lease. */
    boolean isResponsive(long now, ConsensusTimes times) {
        return responsiveness(now, times) == Responsiveness.RESPONSIVE;
    }

    void onReply(long now) {
        hasReplied = true;
        lastReplyNanos = now;
    }

    void onAccepted(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        isProbing = false;
        isAwaitingProbeReply = false;
        snapshotStream = null;
    }

    /** Sets the offset of the next snapshot part, which is sent without waiting for the retry interval. */
    void onSnapshotPartReply(long index, long offset) {
        if (snapshotStream != null && snapshotStream.snapshot().index() == index) {
            snapshotOffset = offset;
            snapshotSentNanos = NEVER;
        }
    }

    /** Starts to send a snapshot from its first part. */
    void startSnapshot(SnapshotStream next) {
        snapshotStream = next;
        snapshotOffset = 0;
        snapshotSentNanos = NEVER;
    }

    /** Moves back to the index hint of a rejected append. A duplicate rejection for the same index changes nothing. */
    void onRejected(long hintIndex) {
        long retryIndex = Math.max(matchIndex, hintIndex) + 1;
        if (!isProbing || retryIndex < nextIndex) {
            isAwaitingProbeReply = false;
        }
        isProbing = true;
        nextIndex = Math.min(nextIndex, retryIndex);
    }
}
