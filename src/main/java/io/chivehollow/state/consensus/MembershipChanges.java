package io.chivehollow.state.consensus;

import java.util.Collections;
import java.util.List;
import java.util.function.Function;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.StateException;

/**
 * Checks and computes the membership changes that operators request.
 *
 * <p>Invariants: only one change is in progress at a time, and an admission is in progress until the instance is a
 * voter; a removal requires that a quorum of the remaining voters is responsive. Changes are idempotent: a retried
 * change that is already done succeeds again. Stateless and thread-safe.
 */
final class MembershipChanges {

    private MembershipChanges() {}

    /** Returns the members with the instance admitted, or the same object if it is already admitted or a member. */
    static Members admit(Members members, InstanceId instance) {
        if (members.isAdmitted(instance) || members.find(instance).isPresent()) {
            return members;
        }
        checkNoChangeInProgress(members, instance);
        return members.withAdmitted(instance);
    }

    /** Returns the members without the instance, or the same object if it is already removed. */
    static Members remove(Members members, InstanceId instance, Function<MemberId, Responsiveness> responsivenessOf) {
        boolean isMember = members.find(instance).isPresent();
        if (!isMember && !members.isAdmitted(instance)) {
            if (members.removed().contains(instance)) {
                return members;
            }
            throw StateException.refused(
                    ErrorCode.MEMBER_NOT_FOUND, "Instance " + instance + " is not a member of the replica group", null);
        }
        checkNoChangeInProgress(members, instance);
        Members next = members.withRemoved(instance);
        if (next.voters().size() == members.voters().size()) {
            return next;
        }
        checkQuorumResponds(next, instance, responsivenessOf);
        return next.withMinVotersAtMost(next.voters().size());
    }

    private static void checkQuorumResponds(
            Members next, InstanceId removed, Function<MemberId, Responsiveness> responsivenessOf) {
        List<Responsiveness> states =
                next.voters().stream().map(responsivenessOf).toList();
        int responsive = Collections.frequency(states, Responsiveness.RESPONSIVE);
        if (responsive >= next.quorum()) {
            return;
        }
        if (responsive + Collections.frequency(states, Responsiveness.UNKNOWN) >= next.quorum()) {
            // The sender retries the removal; by then each voter either has replied or counts as silent.
            throw StateException.refused(
                    ErrorCode.NO_QUORUM, "The leader is new and not enough voters have replied to it yet", null);
        }
        throw StateException.refused(
                ErrorCode.QUORUM_AT_RISK,
                "Without " + removed + " the group would have "
                        + states.size() + " voters, of which "
                        + responsive + " respond and " + next.quorum()
                        + " are needed for a quorum; admit another member first",
                null);
    }

    /**
     * Returns the refusal of a change that is requested before the previous one is committed. Its sender retries it.
     */
    static StateException previousChangeUncommitted() {
        return StateException.refused(ErrorCode.NO_QUORUM, "The previous membership change is not committed yet", null);
    }

    /** Returns the refusal of the removal of the leader itself, which the next leader has to perform. */
    static StateException leaderRemovalRefusal(boolean isTransferred) {
        // The sender retries the removal after either code, and it looks for the next leader itself.
        return isTransferred
                ? StateException.refused(
                        ErrorCode.NOT_LEADER, "The leader is transferring its leadership before its removal", null)
                : StateException.refused(
                        ErrorCode.NO_QUORUM,
                        "No responsive voter has all log entries yet, so leadership cannot be transferred",
                        null);
    }

    private static void checkNoChangeInProgress(Members members, InstanceId instance) {
        members.admitted().filter(other -> !other.equals(instance)).ifPresent(other -> {
            throw changeInProgress("Instance " + other + " is admitted but has not joined yet", other);
        });
        for (MemberId learner : members.learners()) {
            if (!learner.instance().equals(instance)) {
                throw changeInProgress(
                        "Instance " + learner.instance() + " has joined but has not caught up with the log yet",
                        learner.instance());
            }
        }
    }

    private static StateException changeInProgress(String message, InstanceId changing) {
        return StateException.refused(
                ErrorCode.CHANGE_IN_PROGRESS, message + "; wait until it is a voter, or remove " + changing, null);
    }
}
