package io.chivehollow.state.consensus;

import java.util.List;
import java.util.function.Supplier;

import io.chivehollow.base.InstanceId;

/**
 * Rules for joining and leaving the replica group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param canFormGroup whether this member may form a new group with the other initial members
 * @param isAutomatic whether any authenticated instance may join, and surplus voters that do not reply or that stop are
 *     removed, without an operator; a voter is surplus if there are more of them than when the system was first started
 * @param contacts further instances to which a member sends its join requests
 * @param abandonTimeoutMs time without a leader after which a group goes on without voters that may be the only ones to
 *     have stored acknowledged commands, if another one has lost its data folder; 0 for never
 */
public record MembershipPolicy(
        boolean canFormGroup, boolean isAutomatic, Supplier<List<InstanceId>> contacts, int abandonTimeoutMs) {

    /** Returns the policy of a group whose membership only operators change. */
    public static MembershipPolicy byOperators() {
        return new MembershipPolicy(true, false, List::of, 0);
    }

    /** Returns the policy of a group that instances join and leave without an operator. */
    public static MembershipPolicy automatic(boolean canFormGroup, Supplier<List<InstanceId>> contacts) {
        return new MembershipPolicy(canFormGroup, true, contacts, 0);
    }

    /** Returns this policy with another time after which a group goes on without voters that do not return. */
    public MembershipPolicy withAbandonTimeoutMs(int timeoutMs) {
        return new MembershipPolicy(canFormGroup, isAutomatic, contacts, timeoutMs);
    }
}
