package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.wire.Membership;
import io.chivehollow.state.consensus.wire.MembershipItem;

/**
 * The membership of the replica group.
 *
 * <p>Invariants: an instance occurs at most once. Two consecutive memberships differ by at most one voter
 * (single-server membership change), so that any majority of one and any majority of the other have a voter in common.
 * The anchor and the evicted voter belong to one set of voters: a change of the voters clears both. {@link VoterQuorum}
 * has the quorums. Immutable and thread-safe.
 *
 * @param voters members that vote
 * @param learners members that receive the log but do not vote
 * @param admitted instance that may join but has not joined yet
 * @param removed instances that were removed most recently, oldest first; used to recognize a retried removal
 * @param minVoters number of voters below which no voter is removed without an operator, so that the group tolerates as
 *     many losses as when it was formed; 0 if the membership was stored by a version without this field
 * @param foundingLearners learners that count towards {@code minVoters} once they vote
 * @param anchor voter of a group of even size with which half of the voters make a quorum
 * @param evicted voter that was removed from a group of even size, or made a learner, because it did not reply or was
 *     about to stop, and that may return
 * @param isEvictedSilent whether the evicted voter did not reply, and was not about to stop
 * @param isSettled whether a membership with these voters was committed before this one was stored
 */
record Members(
        List<MemberId> voters,
        List<MemberId> learners,
        Optional<InstanceId> admitted,
        List<InstanceId> removed,
        int minVoters,
        List<InstanceId> foundingLearners,
        Optional<MemberId> anchor,
        Optional<MemberId> evicted,
        boolean isEvictedSilent,
        boolean isSettled) {

    /** Exceeds the number of changes that operators make while one of them still retries after a lost response. */
    private static final int MAX_REMOVED = 16;

    Members {
        voters = List.copyOf(voters);
        learners = List.copyOf(learners);
        removed = List.copyOf(removed);
        foundingLearners = List.copyOf(foundingLearners);
    }

    /** Returns the members of a new group. */
    static Members ofVoters(List<MemberId> voters) {
        return new Members(
                voters,
                List.of(),
                Optional.empty(),
                List.of(),
                voters.size(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                false,
                false);
    }

    int quorum() {
        return voters.size() / 2 + 1;
    }

    boolean isVoter(MemberId member) {
        return voters.contains(member);
    }

    boolean contains(MemberId member) {
        return voters.contains(member) || learners.contains(member);
    }

    List<MemberId> all() {
        List<MemberId> all = new ArrayList<>(voters);
        all.addAll(learners);
        return all;
    }

    Optional<MemberId> find(InstanceId instance) {
        return all().stream()
                .filter(member -> member.instance().equals(instance))
                .findFirst();
    }

    boolean isAdmitted(InstanceId instance) {
        return admitted.isPresent() && admitted.get().equals(instance);
    }

    boolean isEven() {
        return voters.size() % 2 == 0;
    }

    /** Returns these members with the instance as the admitted one, which may join. */
    Members withAdmitted(InstanceId instance) {
        return new Members(
                voters,
                learners,
                Optional.of(instance),
                withoutRemoved(instance),
                minVoters,
                foundingLearners,
                anchor,
                evicted,
                isEvictedSilent,
                isSettled);
    }

    /** Returns these members with the instance neither a member nor admitted, but listed as removed. */
    Members withRemoved(InstanceId instance) {
        List<InstanceId> more = new ArrayList<>(withoutRemoved(instance));
        more.add(instance);
        Members rest = without(instance);
        return new Members(
                rest.voters,
                rest.learners,
                admitted.filter(other -> !other.equals(instance)),
                more.subList(Math.max(0, more.size() - MAX_REMOVED), more.size()),
                minVoters,
                rest.foundingLearners,
                rest.anchor,
                rest.evicted.or(() -> evicted.filter(learners::contains)),
                isEvictedSilent,
                rest.isSettled);
    }

    /** Returns these members without a voter that does not reply; in a group of odd size it is the evicted voter. */
    Members withEvicted(MemberId voter) {
        Members rest = withRemoved(voter.instance());
        return rest.isEven() ? rest : rest.withEvictedRole(voter, true);
    }

    /** Returns these members with the evicted voter as a voter again. */
    Members withReinstated() {
        return withVoter(evicted.orElseThrow());
    }

    /** Returns these members with the evicted voter in place of another voter. */
    Members withReinstatedInPlaceOf(MemberId voter) {
        // It is listed as removed, so that it isn't taken for another founder when it joins again.
        return withRemoved(voter.instance()).withVoter(evicted.orElseThrow());
    }

    /** Returns these members, which must be committed, with the voter as the anchor. */
    Members withAnchor(MemberId voter) {
        return withAnchorRole(Optional.of(voter), true);
    }

    /** Returns these members without an anchor that must not be used yet. */
    Members inUse(boolean isCommitted) {
        return isSettled || isCommitted || anchor.isEmpty() ? this : withoutRoles();
    }

    /** Returns whether there is an anchor or an evicted voter. */
    boolean hasRoles() {
        return anchor.isPresent() || evicted.isPresent();
    }

    /** Returns these members without an anchor and without an evicted voter. */
    Members withoutRoles() {
        return withAnchorRole(Optional.empty(), false);
    }

    private Members withAnchorRole(Optional<MemberId> newAnchor, boolean isNowSettled) {
        return new Members(
                voters,
                learners,
                admitted,
                removed,
                minVoters,
                foundingLearners,
                newAnchor,
                Optional.empty(),
                false,
                isNowSettled);
    }

    private Members withEvictedRole(MemberId voter, boolean isSilent) {
        return new Members(
                voters,
                learners,
                admitted,
                removed,
                minVoters,
                foundingLearners,
                Optional.empty(),
                Optional.of(voter),
                isSilent,
                false);
    }

    /** Returns these members with a smaller or equal number of voters to keep. */
    Members withMinVotersAtMost(int limit) {
        return new Members(
                voters,
                learners,
                admitted,
                removed,
                Math.min(minVoters, limit),
                foundingLearners,
                anchor,
                evicted,
                isEvictedSilent,
                isSettled);
    }

    private List<InstanceId> withoutRemoved(InstanceId instance) {
        return removed.stream().filter(other -> !other.equals(instance)).toList();
    }

    private Members without(InstanceId instance) {
        List<MemberId> rest = filter(voters, instance);
        boolean hasSameVoters = rest.size() == voters.size();
        return new Members(
                rest,
                filter(learners, instance),
                admitted,
                removed,
                minVoters,
                foundingLearners.stream()
                        .filter(other -> !other.equals(instance))
                        .toList(),
                anchor.filter(voter -> hasSameVoters),
                evicted.filter(voter -> hasSameVoters && !voter.instance().equals(instance)),
                isEvictedSilent,
                isSettled && hasSameVoters);
    }

    /**
     * Returns these members with the member as a learner; it replaces any other incarnation of its instance.
     *
     * @param isFounder whether the member states that it joins at the first start of the system
     */
    Members withLearner(MemberId member, boolean isFounder) {
        Members rest = without(member.instance());
        List<MemberId> more = new ArrayList<>(rest.learners);
        more.add(member);
        List<InstanceId> founding = new ArrayList<>(rest.foundingLearners);
        // A founder that returns with an empty disk has been counted before.
        boolean isKnown = find(member.instance()).isPresent() || removed.contains(member.instance());
        if (isFounder && !isKnown) {
            founding.add(member.instance());
        }
        return new Members(
                rest.voters,
                more,
                admitted.filter(instance -> !instance.equals(member.instance())),
                removed,
                minVoters,
                founding,
                rest.anchor,
                rest.evicted.or(() -> evicted.filter(member::equals)),
                isEvictedSilent,
                rest.isSettled);
    }

    /** Returns these members with a voter as a learner; in a group of odd size it counts as evicted. */
    Members withDemoted(MemberId voter) {
        Members rest = withLearner(voter, false);
        return rest.isEven() ? rest : rest.withEvictedRole(voter, false);
    }

    /** Returns these members with the member as a voter. */
    Members withVoter(MemberId member) {
        Members rest = without(member.instance());
        List<MemberId> more = new ArrayList<>(rest.voters);
        more.add(member);
        boolean isFounder = foundingLearners.contains(member.instance());
        return new Members(
                more,
                rest.learners,
                admitted,
                removed,
                isFounder ? minVoters + 1 : minVoters,
                rest.foundingLearners,
                Optional.empty(),
                Optional.empty(),
                false,
                false);
    }

    /** Returns these members with the member as a voter, and as the anchor if their number is then even. */
    Members withNewAnchor(MemberId member) {
        Members next = withVoter(member);
        return next.isEven() ? next.withAnchorRole(Optional.of(member), false) : next;
    }

    private static List<MemberId> filter(List<MemberId> members, InstanceId instance) {
        return members.stream()
                .filter(member -> !member.instance().equals(instance))
                .toList();
    }

    Membership toWire() {
        Membership.Builder wire = Membership.newBuilder();
        voters.forEach(member -> wire.addItems(item(member, true)));
        learners.forEach(member -> wire.addItems(item(member, false)));
        admitted.ifPresent(instance -> wire.setAdmitted(instance.value()));
        removed.forEach(instance -> wire.addRemoved(instance.value()));
        wire.setMinVoters(minVoters);
        foundingLearners.forEach(instance -> wire.addFoundingLearners(instance.value()));
        anchor.ifPresent(voter -> wire.setAnchor(voter.instance().value()));
        evicted.ifPresent(voter -> wire.setEvicted(item(voter, isEvictedSilent)));
        wire.setSettled(isSettled);
        return wire.build();
    }

    byte[] encode() {
        return toWire().toByteArray();
    }

    static Members fromWire(Membership wire) {
        List<MemberId> voters = new ArrayList<>();
        List<MemberId> learners = new ArrayList<>();
        for (MembershipItem item : wire.getItemsList()) {
            (item.getVoter() ? voters : learners).add(memberOf(item));
        }
        Optional<InstanceId> admitted =
                wire.getAdmitted().isEmpty() ? Optional.empty() : Optional.of(InstanceId.of(wire.getAdmitted()));
        return new Members(
                voters,
                learners,
                admitted,
                wire.getRemovedList().stream().map(InstanceId::of).toList(),
                wire.getMinVoters(),
                wire.getFoundingLearnersList().stream().map(InstanceId::of).toList(),
                voters.stream()
                        .filter(voter -> voter.instance().value().equals(wire.getAnchor()))
                        .findFirst(),
                wire.hasEvicted() ? Optional.of(memberOf(wire.getEvicted())) : Optional.empty(),
                wire.getEvicted().getVoter(),
                wire.getSettled());
    }

    private static MemberId memberOf(MembershipItem item) {
        return new MemberId(InstanceId.of(item.getInstance()), item.getIncarnation());
    }

    static Members decode(byte[] encoded) {
        try {
            return fromWire(Membership.parseFrom(encoded));
        } catch (InvalidProtocolBufferException e) {
            throw StateException.failed(ErrorCode.STORAGE_FAILED, "Cannot decode a membership of the log", e);
        }
    }

    private static MembershipItem item(MemberId member, boolean isVoter) {
        return MembershipItem.newBuilder()
                .setInstance(member.instance().value())
                .setIncarnation(member.incarnation())
                .setVoter(isVoter)
                .build();
    }
}
