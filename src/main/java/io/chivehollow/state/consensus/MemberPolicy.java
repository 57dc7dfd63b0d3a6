package io.chivehollow.state.consensus;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.chivehollow.base.InstanceId;

/**
 * How members come and go.
 *
 * <p>Immutable and thread-safe.
 *
 * @param formsGroup whether this member may form a new group with the other initial members
 * @param admitsAll whether any authenticated instance may join without an operator
 * @param removalSilenceNanos silence after which a voter is removed, as long as the voters that remain are at least as
 *     many as the initial members
 * @param contacts further instances that a member asks to let it join
 */
public record MemberPolicy(
        boolean formsGroup, boolean admitsAll, long removalSilenceNanos, Supplier<List<InstanceId>> contacts) {

    /**
     * Silence of a voter after which its place is given up.
     *
     * <p>A process that is restarted is back within a second or two; a machine that is replaced never comes back.
     */
    private static final long REMOVAL_SILENCE_MS = 5_000;

    /** Returns the policy of a group whose members only operators change. */
    public static MemberPolicy byOperators() {
        return new MemberPolicy(true, false, Long.MAX_VALUE, List::of);
    }

    /** Returns the policy of a group that new instances join by themselves and that gives up silent ones. */
    public static MemberPolicy automatic(boolean formsGroup, Supplier<List<InstanceId>> contacts) {
        return new MemberPolicy(formsGroup, true, TimeUnit.MILLISECONDS.toNanos(REMOVAL_SILENCE_MS), contacts);
    }
}
