package io.chivehollow.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the replica role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address address at which other processes reach the replica
 * @param dataFolder folder in which the log and the snapshots are stored
 * @param members members of the group when it is first formed
 * @param voteHoldMs time in milliseconds after a leader's message during which the replica does not vote
 * @param abandonAfterSeconds time in seconds without a leader after which the group goes on without voters that may be
 *     the only ones to have stored acknowledged commands; 0 for never
 * @param snapshotEntries number of entries after which a snapshot is taken
 * @param joining how the replica joins the group
 * @param maxWeightLoads number of backend servers that may load from the weight store at the same time
 */
public record ReplicaSettings(
        InetSocketAddress address,
        Path dataFolder,
        List<Member> members,
        JoinPolicy joining,
        int voteHoldMs,
        int abandonAfterSeconds,
        int snapshotEntries,
        int maxWeightLoads) {

    /** In milliseconds. A commit takes a few milliseconds; the rest covers pauses of a busy machine. */
    static final int DEFAULT_VOTE_HOLD_MS = 1_000;

    public ReplicaSettings {
        members = List.copyOf(members);
    }

    /** Creates the settings of a replica in a group whose members are changed by operators. */
    public ReplicaSettings(
            InetSocketAddress address, Path dataFolder, List<Member> members, int snapshotEntries, int maxWeightLoads) {
        this(
                address,
                dataFolder,
                members,
                JoinPolicy.BY_OPERATOR,
                DEFAULT_VOTE_HOLD_MS,
                0,
                snapshotEntries,
                maxWeightLoads);
    }

    /** How a replica joins its group. */
    public enum JoinPolicy {
        /** The initial members form the group; operators admit and remove further members. */
        BY_OPERATOR,
        /** The initial members form the group; later instances join by themselves; unresponsive ones are removed. */
        AUTOMATIC,
        /** Like {@link #AUTOMATIC}, but this replica never forms a group, because the group already exists. */
        AUTOMATIC_LATER
    }

    /**
     * A member of the replica group.
     *
     * @param instance the member's instance
     * @param address the member's address
     */
    public record Member(String instance, InetSocketAddress address) {}
}
