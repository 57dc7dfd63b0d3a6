package io.chivehollow.state.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.jboss.logging.Logger;

/**
 * Voters that are known never to vote again, because their instance runs with another data folder.
 *
 * <p>Any member can learn this, also while there is no leader that could admit the instance. The instance has to return
 * a nonce that was issued when the voter already was one, which shows that its data folder is the newer one.
 *
 * <p>Invariant: what is known refers to the present voters. Used by one thread at a time.
 */
final class RetiredVoters {

    private static final Logger LOG = Logger.getLogger(RetiredVoters.class);

    private final RandomGenerator random;
    private final ConsensusTimes times;

    /** Time at which the instance of a retired voter was first heard of with its new data folder. */
    private final Map<MemberId, Long> retiredNanos = new HashMap<>();

    private JoinNonces nonces = new JoinNonces();
    private List<MemberId> voters = List.of();

    RetiredVoters(RandomGenerator random, ConsensusTimes times) {
        this.random = random;
        this.times = times;
    }

    /** Returns the voters among the present members that are known to be retired. */
    Set<MemberId> among(Members present) {
        setVoters(present);
        return Set.copyOf(retiredNanos.keySet());
    }

    /**
     * Returns those of them that retired before a leader can have used a quorum with them because this member was
     * silent.
     *
     * @param heardNanos time as of which a leader with a lease has heard of this member
     */
    Set<MemberId> confirmed(Members present, long heardNanos) {
        setVoters(present);
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(times.confirmedRetirementMs());
        return retiredNanos.entrySet().stream()
                .filter(entry -> entry.getValue() - heardNanos <= limitNanos)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Handles a request of an instance to join; returns the nonce that the instance has to return, or 0 if it is not a
     * voter under another incarnation.
     */
    long onJoin(MemberId from, long nonce, Members present, long now) {
        setVoters(present);
        Optional<MemberId> replaced = present.voters().stream()
                .filter(voter -> voter.instance().equals(from.instance()) && !voter.equals(from))
                .findFirst();
        if (replaced.isEmpty()) {
            return 0;
        }
        boolean isAlive = nonces.confirmOrIssue(from, nonce, random.nextLong() | 1, now);
        if (isAlive && retiredNanos.putIfAbsent(replaced.get(), nonces.issuedNanos(from)) == null) {
            LOG.infof("Voter %s is retired, because its instance runs as %s", replaced.get(), from);
        }
        return nonces.issued(from);
    }

    private void setVoters(Members present) {
        if (!present.voters().equals(voters)) {
            voters = present.voters();
            nonces = new JoinNonces();
            retiredNanos.clear();
        }
    }
}
