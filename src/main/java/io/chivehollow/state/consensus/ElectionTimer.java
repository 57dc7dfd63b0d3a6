package io.chivehollow.state.consensus;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a member may vote and when it starts an election.
 *
 * <p>Used by one thread at a time.
 */
final class ElectionTimer {

    private final NodeConfig config;
    private final RandomGenerator random;
    private long lastLeaderMessageNanos;
    private long deadlineNanos;

    ElectionTimer(NodeConfig config, RandomGenerator random, long now) {
        this.config = config;
        this.random = random;
        // Before a restart the member may have acknowledged a leader's message, so a lease may still depend on it.
        onLeaderMessage(now);
    }

    long lastLeaderMessageNanos() {
        return lastLeaderMessageNanos;
    }

    void onLeaderMessage(long now) {
        lastLeaderMessageNanos = now;
        restart(now);
    }

    void restart(long now) {
        long maxJitterNanos = TimeUnit.MILLISECONDS.toNanos(config.times().maxElectionJitterMs());
        deadlineNanos = now + voteHoldNanos() + (long) (random.nextDouble() * maxJitterNanos);
    }

    boolean isDue(long now) {
        return now - deadlineNanos >= 0;
    }

    /** Returns whether a leader whose message this member has acknowledged may still hold its lease. */
    boolean isVoteHoldActive(long now) {
        return config.isEnabled(ConsensusSafeguard.VOTE_HOLD) && now - lastLeaderMessageNanos < voteHoldNanos();
    }

    private long voteHoldNanos() {
        return TimeUnit.MILLISECONDS.toNanos(config.times().voteHoldMs());
    }
}
