package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Set;

import io.chivehollow.base.InstanceId;

/**
 * Configuration of a {@link ConsensusNode}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member's instance
 * @param initialMembers members of the group when it is first formed
 * @param times intervals and timeouts of the protocol
 * @param snapshotPartBytes maximum size of the parts in which a snapshot is sent
 * @param policy rules for joining the group and for removing members
 * @param disabledSafeguards safeguards that are disabled; empty outside of tests
 */
record NodeConfig(
        InstanceId self,
        List<InstanceId> initialMembers,
        ConsensusTimes times,
        int snapshotPartBytes,
        MembershipPolicy policy,
        Set<ConsensusSafeguard> disabledSafeguards) {

    /** Small enough not to delay heartbeats on a slow connection, and far below the maximum frame size. */
    static final int DEFAULT_SNAPSHOT_PART_BYTES = 1 << 20;

    NodeConfig {
        initialMembers = List.copyOf(initialMembers);
        disabledSafeguards = Set.copyOf(disabledSafeguards);
    }

    NodeConfig(
            InstanceId self,
            List<InstanceId> initialMembers,
            ConsensusTimes times,
            int snapshotPartBytes,
            Set<ConsensusSafeguard> disabledSafeguards) {
        this(self, initialMembers, times, snapshotPartBytes, MembershipPolicy.byOperators(), disabledSafeguards);
    }

    boolean isEnabled(ConsensusSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }
}
