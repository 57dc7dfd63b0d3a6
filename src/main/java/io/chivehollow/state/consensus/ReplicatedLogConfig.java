package io.chivehollow.state.consensus;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.state.log.DiskFileStore;
import io.chivehollow.state.log.FileStoreOpener;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Configuration of a member of the replica group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member's instance
 * @param initialMembers members of the group when it is first formed; must be the same list at each of them
 * @param dataFolder folder of the log and the snapshots
 * @param stateMachine state machine to which committed commands are applied
 * @param transport sends messages to other members
 * @param scheduler runs the periodic tick
 * @param clock clock of this process
 * @param random source of incarnations and election timeouts
 * @param times intervals and timeouts of the protocol
 * @param snapshotEntries number of entries after which a snapshot is taken
 * @param onFatal called with the error after which the member stops permanently; a member that is opened again
 *     recovers its state from the disk
 * @param policy rules for joining the group and for removing members
 * @param observer receives events about syncs and proposals
 * @param files opens the data folder
 */
public record ReplicatedLogConfig(
        InstanceId self,
        List<InstanceId> initialMembers,
        Path dataFolder,
        StateMachine stateMachine,
        PeerTransport transport,
        Scheduler scheduler,
        Clock clock,
        RandomGenerator random,
        ConsensusTimes times,
        int snapshotEntries,
        Consumer<Throwable> onFatal,
        MembershipPolicy policy,
        MemberObserver observer,
        FileStoreOpener files) {

    private static final int DEFAULT_SNAPSHOT_ENTRIES = 10_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if {@code initialMembers} is empty or {@code snapshotEntries} is not positive
     */
    public ReplicatedLogConfig {
        initialMembers = List.copyOf(initialMembers);
        checkArgument(!initialMembers.isEmpty(), "initialMembers must not be empty");
        checkArgument(snapshotEntries > 0, "snapshotEntries must be positive, but was %s", snapshotEntries);
    }

    /** Returns a configuration with the default times and policy and the clock of the operating system. */
    public static ReplicatedLogConfig of(
            InstanceId self,
            List<InstanceId> initialMembers,
            Path dataFolder,
            StateMachine stateMachine,
            PeerTransport transport,
            Scheduler scheduler,
            Consumer<Throwable> onFatal) {
        return new ReplicatedLogConfig(
                self,
                initialMembers,
                dataFolder,
                stateMachine,
                transport,
                scheduler,
                Clock.system(),
                new SecureRandom(),
                ConsensusTimes.defaults(),
                DEFAULT_SNAPSHOT_ENTRIES,
                onFatal,
                MembershipPolicy.byOperators(),
                MemberObserver.none(),
                DiskFileStore::open);
    }

    /** Returns this configuration with another number of entries between snapshots. */
    public ReplicatedLogConfig withSnapshotEntries(int entries) {
        return with(times, entries, policy, observer, files);
    }

    /** Returns this configuration with another observer. */
    public ReplicatedLogConfig withObserver(MemberObserver newObserver) {
        return with(times, snapshotEntries, policy, newObserver, files);
    }

    /** Returns this configuration with another membership policy. */
    public ReplicatedLogConfig withPolicy(MembershipPolicy newPolicy) {
        return with(times, snapshotEntries, newPolicy, observer, files);
    }

    /** Returns this configuration with other intervals and timeouts. */
    public ReplicatedLogConfig withTimes(ConsensusTimes newTimes) {
        return with(newTimes, snapshotEntries, policy, observer, files);
    }

    /** Returns this configuration with another way to open the data folder. */
    public ReplicatedLogConfig withFiles(FileStoreOpener newFiles) {
        return with(times, snapshotEntries, policy, observer, newFiles);
    }

    private ReplicatedLogConfig with(
            ConsensusTimes newTimes,
            int entries,
            MembershipPolicy newPolicy,
            MemberObserver newObserver,
            FileStoreOpener newFiles) {
        return new ReplicatedLogConfig(
                self,
                initialMembers,
                dataFolder,
                stateMachine,
                transport,
                scheduler,
                clock,
                random,
                newTimes,
                entries,
                onFatal,
                newPolicy,
                newObserver,
                newFiles);
    }
}
