package io.chivehollow.state.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Voters that are known never to vote again, because their instance runs with another data folder.
 *
 * <p>Any member can learn this, also while there is no leader that could admit the instance. The instance has to return
 * a nonce that was issued when the voter already was one, which shows that its data folder is the newer one.
 *
 * <p>Invariant: what is known refers to the present membership. Used by one thread at a time.
 */
final class RetiredVoters {

    private static final Logger LOG = Logger.getLogger(RetiredVoters.class);

    private final RandomGenerator random;
    private final Set<MemberId> retired = new HashSet<>();
    private JoinNonces nonces = new JoinNonces();
    private @Nullable Members members;

    RetiredVoters(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the voters among the present members that are known to be retired. */
    Set<MemberId> among(Members present) {
        setMembers(present);
        return Set.copyOf(retired);
    }

    /**
     * Handles a request of an instance to join; returns the nonce that the instance has to return, or 0 if it is not a
     * voter under another incarnation.
     */
    long onJoin(MemberId from, long nonce, Members present) {
        setMembers(present);
        Optional<MemberId> replaced = present.voters().stream()
                .filter(voter -> voter.instance().equals(from.instance()) && !voter.equals(from))
                .findFirst();
        if (replaced.isEmpty()) {
            return 0;
        }
        boolean isAlive = nonces.confirmOrIssue(from, nonce, random.nextLong() | 1);
        if (isAlive && retired.add(replaced.get())) {
            LOG.infof("Voter %s is retired, because its instance runs as %s", replaced.get(), from);
        }
        return nonces.issued(from);
    }

    private void setMembers(Members present) {
        if (!present.equals(members)) {
            members = present;
            nonces = new JoinNonces();
            retired.clear();
        }
    }
}
