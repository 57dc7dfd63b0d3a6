package io.chivehollow.coordination.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.TeamId;

/**
 * Admits a few requests of each team while the lender does not answer.
 *
 * <p>A deployment may tolerate that a team exceeds its rate by some tokens. This process may use its share of them,
 * once for each time that the lender is unreachable, so that requests within the rate are not refused during an
 * election.
 *
 * <p>Invariant: between two times of {@link #RECOVERY_NANOS} with answers, at most the share of one process is admitted
 * for a team; a process that has never heard from the lender admits nothing. Thread-safe.
 */
public final class OfflineAllowance {

    /** Time with answers after which an allowance is whole again; the tolerance counts in windows of 8 s. */
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Part of the tolerance that is used; a half is lent as burst, the rest is for requests that arrive late. */
    private static final double USED_SHARE = 0.4;

    /** A new leader knows few borrowers at first; the smaller deployments have six to eight processes. */
    private static final int MIN_BORROWERS = 8;

    private final long toleratedTokens;
    private final Clock clock;
    private final Map<TeamId, Long> used = new HashMap<>();
    private int borrowers = MIN_BORROWERS;
    private boolean hasAnswer;
    private long lastAnswerNanos;
    private long lastUseNanos;

    private OfflineAllowance(long toleratedTokens, Clock clock) {
        this.toleratedTokens = toleratedTokens;
        this.clock = clock;
    }

    /** Returns an allowance out of the tokens by which a team may exceed its rate at all processes together. */
    public static OfflineAllowance of(long toleratedTokens, Clock clock) {
        return new OfflineAllowance(toleratedTokens, clock);
    }

    /** Records an answer of the lender, which knows so many borrowers. */
    public synchronized void onAnswer(int knownBorrowers) {
        long now = clock.nanoTime();
        if (hasAnswer && now - lastUseNanos > RECOVERY_NANOS) {
            used.clear();
        }
        hasAnswer = true;
        lastAnswerNanos = now;
        borrowers = Math.max(borrowers, knownBorrowers);
    }

    /** Returns the greatest number of borrowers that the lender has reported, or a small number before that. */
    public synchronized int borrowers() {
        return borrowers;
    }

    /** Returns whether the lender has answered since the time. */
    public synchronized boolean hasAnswerSince(long sinceNanos) {
        return hasAnswer && lastAnswerNanos - sinceNanos >= 0;
    }

    /** Takes the tokens for a team if its allowance has them. */
    public synchronized boolean take(TeamId team, long tokens) {
        if (!hasAnswer) {
            return false;
        }
        long share = (long) (toleratedTokens * USED_SHARE / borrowers);
        long sum = used.getOrDefault(team, 0L) + tokens;
        if (sum > share) {
            return false;
        }
        used.put(team, sum);
        lastUseNanos = clock.nanoTime();
        return true;
    }
}
