package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The voters whose votes and acknowledgements count, how many of them make a quorum, and one that has to be among them.
 *
 * <p>Usually that is a majority of the voters. A group of an even number n of voters can go on with n/2 of them. So can
 * a group of n - 1 voters from which one was evicted shortly before, with that one among the n. Any two quorums that
 * are used must have a voter in common, also if the members that use them know of different memberships:
 *
 * <ul>
 *   <li>The anchor is used only once a membership with these voters is committed, and a voter is evicted only from a
 *       committed one. So no quorum of an earlier membership is used any more.
 *   <li>With an anchor, a leader that has a majority's votes commits with n/2 voters only if the anchor is one of them
 *       and all others have been silent for {@link ConsensusTimes#narrowQuorumSilenceMs}. Two such quorums share the
 *       anchor. Another membership follows only after one without an anchor, which a majority has to store, or once a
 *       voter has returned with an empty data folder, which cannot be part of a quorum any more.
 *   <li>With an evicted voter, a leader commits with one voter more than a majority, or with a majority if all others
 *       have been silent for that time.
 *   <li>A candidate that does not know whether the return of an evicted voter is committed uses the quorum of the
 *       membership before, which also intersects each majority with the returned voter; see {@link ElectionQuorums}.
 *   <li>A retired voter is one whose instance has returned with an empty data folder. A candidate that knows of one
 *       needs n/2 votes of the others. If the anchor is among them, they intersect each quorum above. Otherwise, and
 *       with an evicted voter, whose vote counts in place of the retired one, they intersect all quorums but those that
 *       contain the retired voter and leave out all others of the candidate's. Therefore the candidate must have been
 *       heard by a leader with a lease so recently that its silence was not long enough for such a quorum when the
 *       voter was retired.
 *   <li>Two candidates may know of different retired voters. Since votes are requested only after a voter is known to
 *       be retired, the quorum of each cannot contain the voter that the other one leaves out: the first would have to
 *       vote after the second had stopped, and the second after the first.
 * </ul>
 *
 * <p>Therefore a quorum is fixed before the votes are requested, and a leader uses the quorum that elected it until the
 * membership changes. Immutable and thread-safe.
 *
 * @param voters voters that count
 * @param size number of them that make a quorum
 * @param required voter without which there is no quorum, if any
 */
record VoterQuorum(List<MemberId> voters, int size, Optional<MemberId> required) {

    VoterQuorum {
        voters = List.copyOf(voters);
    }

    /** Returns a majority of the voters. */
    static VoterQuorum majority(Members members) {
        return new VoterQuorum(members.voters(), members.quorum(), Optional.empty());
    }

    /** Returns one voter more than a majority, as long as an evicted voter may count in place of another one. */
    static VoterQuorum wide(Members members) {
        return new VoterQuorum(
                members.voters(),
                Math.min(members.quorum() + 1, members.voters().size()),
                Optional.empty());
    }

    /**
     * Returns the quorum of an election.
     *
     * @param retired voters that are known to be retired
     * @param confirmed those of them without which no smaller quorum has been used while this member was unheard
     */
    static VoterQuorum ofElection(Members members, Set<MemberId> retired, Set<MemberId> confirmed) {
        List<MemberId> rest = new ArrayList<>(members.voters());
        rest.removeAll(retired);
        if (rest.size() == members.voters().size()) {
            return majority(members);
        }
        int half = members.voters().size() / 2;
        if (members.anchor().isPresent()) {
            MemberId anchor = members.anchor().get();
            if (!retired.contains(anchor)) {
                return new VoterQuorum(rest, half, members.anchor());
            }
            return confirmed.contains(anchor) ? new VoterQuorum(rest, half, Optional.empty()) : majority(members);
        }
        if (members.evicted().isPresent() && !confirmed.isEmpty()) {
            rest.add(members.evicted().get());
            return new VoterQuorum(rest, half + 1, Optional.empty());
        }
        return majority(members);
    }

    /**
     * Returns the quorum of an election in which voters that are neither retired nor present count as lost for good.
     * Commands that were acknowledged by these and by a retired voter only are lost.
     */
    static VoterQuorum ofRest(Members members, Set<MemberId> retired) {
        if (members.anchor().isPresent() && members.voters().stream().noneMatch(retired::contains)) {
            return new VoterQuorum(members.voters(), members.voters().size() / 2, members.anchor());
        }
        return members.isEven() && members.anchor().isEmpty()
                ? ofElection(members.withAnchor(members.voters().get(0)), retired, retired)
                        .withoutRequired()
                : ofElection(members, retired, retired).withoutRequired();
    }

    private VoterQuorum withoutRequired() {
        return new VoterQuorum(voters, size, Optional.empty());
    }

    /**
     * Returns the quorum with which a leader may commit because all other voters have been silent, or empty if there
     * is none.
     */
    static Optional<VoterQuorum> ofHeard(Members members, boolean isWide, Predicate<MemberId> isSilent) {
        List<MemberId> heard = new ArrayList<>(members.voters());
        heard.removeIf(isSilent);
        boolean isHalf = members.anchor().isPresent()
                && heard.size() == members.voters().size() / 2
                && heard.contains(members.anchor().get());
        boolean isMajority = isWide && heard.size() == members.quorum();
        return isHalf || isMajority
                ? Optional.of(new VoterQuorum(heard, heard.size(), Optional.empty()))
                : Optional.empty();
    }

    /** Returns the retired voter in place of which the evicted one counts, or empty if it does not count. */
    Optional<MemberId> replacedByEvicted(Members members) {
        return members.evicted().filter(voters::contains).flatMap(evicted -> members.voters().stream()
                .filter(voter -> !voters.contains(voter))
                .findFirst());
    }

    boolean isReachedBy(Set<MemberId> granting) {
        return voters.stream().filter(granting::contains).count() >= size
                && required.map(granting::contains).orElse(true);
    }

    /** Returns the highest value that all voters of some quorum have reached. */
    long reachedValue(ToLongFunction<MemberId> value) {
        List<Long> values = new ArrayList<>();
        voters.forEach(voter -> values.add(value.applyAsLong(voter)));
        values.sort(Collections.reverseOrder());
        long reached = values.get(size - 1);
        return required.isEmpty() ? reached : Math.min(reached, value.applyAsLong(required.get()));
    }
}
