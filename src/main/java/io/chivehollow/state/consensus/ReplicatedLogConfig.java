package io.chivehollow.state.consensus;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a member of the replica group needs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member's instance
 * @param initialMembers members of the group when it is first formed, the same list at each of them
 * @param dataFolder folder of the log and the snapshots
 * @param machine state machine that gets the committed commands
 * @param transport carries messages to other members
 * @param scheduler runs the timer
 * @param clock clock of this process
 * @param random source of incarnations and election timeouts
 * @param times times of the protocol
 * @param snapshotEntries number of entries after which a snapshot is taken
 * @param onFatal takes the error after which the member has stopped; the process must end
 * @param policy how members come and go
 * @param observer told of syncs and proposals
 */
public record ReplicatedLogConfig(
        InstanceId self,
        List<InstanceId> initialMembers,
        Path dataFolder,
        StateMachine machine,
        PeerTransport transport,
        Scheduler scheduler,
        Clock clock,
        RandomGenerator random,
        ConsensusTimes times,
        int snapshotEntries,
        Consumer<Throwable> onFatal,
        MemberPolicy policy,
        MemberObserver observer) {

    private static final int DEFAULT_SNAPSHOT_ENTRIES = 10_000;

    /** Checks the values. */
    public ReplicatedLogConfig {
        initialMembers = List.copyOf(initialMembers);
        checkArgument(!initialMembers.isEmpty(), "initialMembers must not be empty");
        checkArgument(snapshotEntries > 0, "snapshotEntries must be positive, but was %s", snapshotEntries);
    }

    /** Returns a config with the default times and the clock of the operating system. */
    public static ReplicatedLogConfig of(
            InstanceId self,
            List<InstanceId> initialMembers,
            Path dataFolder,
            StateMachine machine,
            PeerTransport transport,
            Scheduler scheduler,
            Consumer<Throwable> onFatal) {
        return new ReplicatedLogConfig(
                self,
                initialMembers,
                dataFolder,
                machine,
                transport,
                scheduler,
                Clock.system(),
                new SecureRandom(),
                ConsensusTimes.defaults(),
                DEFAULT_SNAPSHOT_ENTRIES,
                onFatal,
                MemberPolicy.byOperators(),
                MemberObserver.none());
    }

    /** Returns this config with another number of entries between snapshots. */
    public ReplicatedLogConfig withSnapshotEntries(int entries) {
        return with(times, entries, policy, observer);
    }

    /** Returns this config with an observer. */
    public ReplicatedLogConfig withObserver(MemberObserver newObserver) {
        return with(times, snapshotEntries, policy, newObserver);
    }

    /** Returns this config with another way in which members come and go. */
    public ReplicatedLogConfig withPolicy(MemberPolicy newPolicy) {
        return with(times, snapshotEntries, newPolicy, observer);
    }

    /** Returns this config with other times of the protocol. */
    public ReplicatedLogConfig withTimes(ConsensusTimes newTimes) {
        return with(newTimes, snapshotEntries, policy, observer);
    }

    private ReplicatedLogConfig with(
            ConsensusTimes newTimes, int entries, MemberPolicy newPolicy, MemberObserver newObserver) {
        return new ReplicatedLogConfig(
                self,
                initialMembers,
                dataFolder,
                machine,
                transport,
                scheduler,
                clock,
                random,
                newTimes,
                entries,
                onFatal,
                newPolicy,
                newObserver);
    }
}
