package io.chivehollow.coordination.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.TeamId;

/**
 * Admits a limited number of requests of each team while the lender does not respond.
 *
 * <p>A deployment may tolerate that a team exceeds its rate by some tokens. Each process may use its share of these
 * tokens once per outage of the lender, so that requests within the rate are not refused during an election.
 *
 * <p>Invariants: at most the share of one process is admitted for a team until a response of the lender arrives more
 * than {@link #RECOVERY_NANOS} after the last use of the allowance; a process that has never received a response of the
 * lender admits nothing. Thread-safe.
 */
public final class OfflineAllowance {

    /** Time without use after which a response restores the allowance; exceeds the tolerance window of 8 s. */
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Fraction of the tolerance that is used; half is lent, the rest is for requests that arrive late. */
    private static final double USED_SHARE = 0.4;

    /** Minimum, because a new leader reports few borrowers at first; small installations have 6 to 8 processes. */
    private static final int MIN_BORROWERS = 8;

    private final long toleratedTokens;
    private final Clock clock;
    private final Map<TeamId, Long> used = new HashMap<>();
    private int borrowerCount = MIN_BORROWERS;
    private boolean hasResponse;
    private long lastResponseNanos;
    private long lastUseNanos;

    private OfflineAllowance(long toleratedTokens, Clock clock) {
        this.toleratedTokens = toleratedTokens;
        this.clock = clock;
    }

    /** Returns an allowance; a team may exceed its rate by {@code toleratedTokens} at all processes together. */
    public static OfflineAllowance of(long toleratedTokens, Clock clock) {
        return new OfflineAllowance(toleratedTokens, clock);
    }

    /** Records a response of the lender, which reports the given number of borrowers. */
    public synchronized void onLenderResponse(int reportedCount) {
        long now = clock.nanoTime();
        if (hasResponse && now - lastUseNanos > RECOVERY_NANOS) {
            used.clear();
        }
        hasResponse = true;
        lastResponseNanos = now;
        borrowerCount = Math.max(borrowerCount, reportedCount);
    }

    /** Returns the highest number of borrowers that the lender has reported, but at least 8. */
    public synchronized int borrowerCount() {
        return borrowerCount;
    }

    /** Returns whether the lender has responded since the given time of the monotonic clock. */
    public synchronized boolean hasResponseSince(long sinceNanos) {
        return hasResponse && lastResponseNanos - sinceNanos >= 0;
    }

    /** Takes the tokens from the team's allowance and returns true, or returns false if they exceed it. */
    public synchronized boolean tryAcquire(TeamId team, long tokens) {
        if (!hasResponse) {
            return false;
        }
        long share = (long) (toleratedTokens * USED_SHARE / borrowerCount);
        long sum = used.getOrDefault(team, 0L) + tokens;
        if (sum > share) {
            return false;
        }
        used.put(team, sum);
        lastUseNanos = clock.nanoTime();
        return true;
    }
}
