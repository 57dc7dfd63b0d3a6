package io.chivehollow.state.consensus;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.chivehollow.base.InstanceId;

/**
 * Rules for joining the replica group and for removing unresponsive members.
 *
 * <p>Immutable and thread-safe.
 *
 * @param canFormGroup whether this member may form a new group with the other initial members
 * @param admitsAnyInstance whether any authenticated instance may join without an operator
 * @param removalTimeoutNanos time without a reply after which a voter is removed, provided that at least as many voters
 *     remain as there were when the system was first started
 * @param contacts further instances to which a member sends its join requests
 */
public record MembershipPolicy(
        boolean canFormGroup,
        boolean admitsAnyInstance,
        long removalTimeoutNanos,
        Supplier<List<InstanceId>> contacts) {

    /**
     * Time without a reply after which a voter is removed.
     *
     * <p>A restarted process responds again within 1 to 2 seconds; a replaced machine never does.
     */
    private static final long REMOVAL_TIMEOUT_MS = 5_000;

    /** Returns the policy of a group whose membership only operators change. */
    public static MembershipPolicy byOperators() {
        return new MembershipPolicy(true, false, Long.MAX_VALUE, List::of);
    }

    /**
     * Returns the policy of a group that new instances join without an operator and that removes unresponsive voters.
     */
    public static MembershipPolicy automatic(boolean canFormGroup, Supplier<List<InstanceId>> contacts) {
        return new MembershipPolicy(canFormGroup, true, TimeUnit.MILLISECONDS.toNanos(REMOVAL_TIMEOUT_MS), contacts);
    }
}
