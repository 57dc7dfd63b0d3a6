package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Set;

/**
 * The voters whose votes and acknowledgements count, and how many of them make a quorum.
 *
 * <p>Usually that is a majority of the voters. A retired voter is one whose instance has returned with an empty data
 * folder, so that the voter will never vote or acknowledge anything again. In a group of an even number n of voters,
 * one of them retired, n/2 of the others are enough:
 *
 * <ul>
 *   <li>n/2 + 1 and n/2 voters of n have one in common, so that such a quorum contains a member of every majority that
 *       has committed an entry or elected a leader before, and of every majority that still can.
 *   <li>Two quorums without the retired voter are n votes of n - 1 voters, so they have one in common, too.
 *   <li>Two candidates may know of different retired voters. If votes are requested only after a voter is known to be
 *       retired, each candidate's quorum cannot contain the voter that the other one leaves out: the first would have
 *       to vote after the second had stopped, and the second after the first.
 * </ul>
 *
 * <p>Therefore a quorum is fixed before the votes are requested, and a leader uses the quorum that elected it until the
 * membership changes. Immutable and thread-safe.
 *
 * @param voters voters that count
 * @param size number of them that make a quorum
 */
record VoterQuorum(List<MemberId> voters, int size) {

    VoterQuorum {
        voters = List.copyOf(voters);
    }

    /** Returns a majority of the voters. */
    static VoterQuorum of(Members members) {
        return new VoterQuorum(members.voters(), members.quorum());
    }

    /** Returns a quorum that makes use of the knowledge that some voters are retired. */
    static VoterQuorum withoutRetired(Members members, Set<MemberId> retired) {
        int total = members.voters().size();
        List<MemberId> rest = members.voters().stream()
                .filter(voter -> !retired.contains(voter))
                .toList();
        return rest.size() < total && total % 2 == 0 ? new VoterQuorum(rest, total / 2) : of(members);
    }
}
