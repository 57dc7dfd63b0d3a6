package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Set;

import io.chivehollow.base.InstanceId;

/**
 * Fixed values of a member.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member's instance
 * @param initialMembers members of the group when it is first formed
 * @param times times of the protocol
 * @param snapshotPartBytes size of the parts in which a snapshot is sent
 * @param policy how members come and go
 * @param disabled safety mechanisms that are switched off; empty outside of tests
 */
record NodeConfig(
        InstanceId self,
        List<InstanceId> initialMembers,
        ConsensusTimes times,
        int snapshotPartBytes,
        MemberPolicy policy,
        Set<Mechanism> disabled) {

    /** Small enough not to delay heartbeats on a slow connection, and far below the largest frame. */
    static final int DEFAULT_SNAPSHOT_PART_BYTES = 1 << 20;

    NodeConfig {
        initialMembers = List.copyOf(initialMembers);
        disabled = Set.copyOf(disabled);
    }

    NodeConfig(
            InstanceId self,
            List<InstanceId> initialMembers,
            ConsensusTimes times,
            int snapshotPartBytes,
            Set<Mechanism> disabled) {
        this(self, initialMembers, times, snapshotPartBytes, MemberPolicy.byOperators(), disabled);
    }

    boolean uses(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
