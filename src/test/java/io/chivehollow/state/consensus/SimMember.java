package io.chivehollow.state.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.MemberDriver.Proposal;
import io.chivehollow.state.consensus.ReplicatedLog.AppliedEntry;
import io.chivehollow.state.consensus.wire.PeerMessage;
import io.chivehollow.state.consensus.wire.VoteReply;
import io.chivehollow.state.log.FileStore;
import io.chivehollow.state.log.LogStore;
import io.chivehollow.state.log.SimDisk;

/** A simulated process: the real member classes with a simulated clock, disk and network. */
final class SimMember {

    /** Small, so that state and files are sent in several parts. */
    private static final int SNAPSHOT_PART_BYTES = 300;

    final InstanceId instance;
    final int number;
    private final Simulation simulation;
    private final double clockRate;
    private final long clockOffset;
    private final RandomGenerator random;
    private final List<Consumer<MemberDriver>> inbox = new ArrayList<>();
    SimDisk disk = new SimDisk();
    MemberDriver driver;
    long processGeneration;
    long pausedUntil;

    /** Whether the test has damaged a segment of idempotency records. */
    boolean hasDamagedRecords;

    private MembershipPolicy policy = MembershipPolicy.byOperators();
    private ConsensusTimes times = ConsensusTimes.defaults();
    private boolean hasLeft;
    private boolean isProcessing;
    private long incarnation;
    private int restoreCount;

    SimMember(Simulation simulation, int number, double clockRate, RandomGenerator random) {
        this.simulation = simulation;
        this.number = number;
        this.instance = InstanceId.of("m" + number);
        this.clockRate = clockRate;
        this.clockOffset = random.nextLong(1L << 40);
        this.random = random;
    }

    boolean isUp() {
        return driver != null;
    }

    long clockNanos() {
        return clockOffset + (long) (simulation.now() * clockRate);
    }

    long trueNanos(long clockNanos) {
        return (long) ((clockNanos - clockOffset) / clockRate);
    }

    /** Sets the membership policy and the times of the protocol; must be called before the next start. */
    void setPolicy(MembershipPolicy newPolicy, ConsensusTimes newTimes) {
        policy = newPolicy;
        times = newTimes;
    }

    void start(List<InstanceId> members, Set<ConsensusSafeguard> disabledSafeguards, int snapshotEntries) {
        processGeneration++;
        restoreCount = 0;
        hasLeft = false;
        LogStore.RecoveredLog opened = LogStore.open(disk, instance.value(), random);
        incarnation = opened.store().memberState().incarnation();
        NodeConfig config = new NodeConfig(instance, members, times, SNAPSHOT_PART_BYTES, policy, disabledSafeguards);
        driver = new MemberDriver(
                config, opened, new CheckedStateMachine(), this::sendTo, new MemberClock(), random, snapshotEntries);
        inbox.clear();
        isProcessing = false;
        scheduleTick(processGeneration);
    }

    /** Takes the next step towards leaving the group. */
    void leave() {
        input(running -> hasLeft |= running.leave());
    }

    /** Returns whether the running process may stop because it has left the group or remains a voter. */
    boolean hasLeft() {
        return hasLeft;
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns how many snapshots the running process has restored. */
    int restoreCount() {
        return restoreCount;
    }

    private void sendTo(InstanceId to, byte[] bytes) {
        try {
            PeerMessage message = PeerMessage.parseFrom(bytes);
            VoteReply vote = message.getVoteReply();
            boolean helpsAnotherLeader = message.hasTransfer() || (vote.getGranted() && !vote.getPre());
            if (helpsAnotherLeader && holdsLease()) {
                throw new SafetyChecker.ViolationException(
                        instance + " helps to elect another leader while it reports a valid lease");
            }
        } catch (InvalidProtocolBufferException e) {
            throw new SafetyChecker.ViolationException("Malformed message from " + instance);
        }
        simulation.send(this, to, bytes);
    }

    private void scheduleTick(long tickGeneration) {
        simulation.scheduleAfter((long) (50_000_000 / clockRate), () -> {
            if (processGeneration == tickGeneration && isUp()) {
                input(MemberDriver::tick);
                scheduleTick(tickGeneration);
            }
        });
    }

    /** Ends the process; the disk retains all synced writes and possibly some unsynced ones. */
    void crash() {
        driver = null;
        processGeneration++;
        disk = disk.crash(random);
    }

    void input(Consumer<MemberDriver> input) {
        if (!isUp()) {
            return;
        }
        inbox.add(input);
        if (isProcessing) {
            return;
        }
        isProcessing = true;
        long started = processGeneration;
        long delay = Math.max(0, pausedUntil - simulation.now()) + random.nextLong(2_000_000);
        simulation.scheduleAfter(delay, () -> {
            if (processGeneration == started && isUp()) {
                process();
            }
        });
    }

    private void process() {
        if (simulation.now() < pausedUntil) {
            simulation.scheduleAfter(pausedUntil - simulation.now(), this::processAgain);
            return;
        }
        isProcessing = false;
        List<Consumer<MemberDriver>> batch = List.copyOf(inbox);
        inbox.clear();
        try {
            for (Consumer<MemberDriver> item : batch) {
                item.accept(driver);
            }
            driver.flush();
        } catch (SimDisk.CrashException e) {
            crash();
        } catch (StateException e) {
            simulation.onFatal(this, e);
        } catch (IllegalStateException e) {
            throw new SafetyChecker.ViolationException(instance + " failed: " + e.getMessage());
        }
    }

    private void processAgain() {
        if (isUp()) {
            process();
        }
    }

    void propose(String command) {
        CompletableFuture<AppliedEntry> outcome = new CompletableFuture<>();
        outcome.whenComplete((result, failure) -> {
            if (failure == null) {
                simulation.checker().onAcknowledged(result.index(), command);
            } else if (failure instanceof StateException refusal && refusal.isNotRun()) {
                simulation.checker().onRefused(command);
            }
        });
        Proposal proposal = new Proposal(command.getBytes(StandardCharsets.UTF_8), outcome);
        input(running -> running.propose(List.of(proposal)));
    }

    boolean holdsLease() {
        return isUp() && driver.view().holdsLease(clockNanos());
    }

    /** Checks the reported age of this member's state. */
    void checkFreshness() {
        if (!isUp()) {
            return;
        }
        MemberView view = driver.view();
        long asOf = holdsLease() ? clockNanos() : view.freshAsOfNanos();
        if (asOf != ReplicationProgress.NEVER) {
            simulation
                    .checker()
                    .checkFreshness(
                            // Subtracts the rounding error of the simulated clocks.
                            instance.value(),
                            trueNanos(asOf) - 1_000,
                            view.status().appliedIndex());
        }
    }

    private final class MemberClock implements Clock {
        @Override
        public long nanoTime() {
            return clockNanos();
        }

        @Override
        public long currentTimeMs() {
            return simulation.now() / 1_000_000;
        }
    }

    /** Reports the operations of the state machine to the checker. */
    private final class CheckedStateMachine implements StateMachine {
        private final CallStateMachine delegate = new CallStateMachine(simulation.newState(), simulation.checker());

        @Override
        public SnapshotFiles open(FileStore folder) {
            return delegate.open(folder);
        }

        @Override
        public boolean hasDiskSpace() {
            return delegate.hasDiskSpace();
        }

        @Override
        public byte[] apply(long index, byte[] command) {
            byte[] result = delegate.apply(index, command);
            String text = new String(command, StandardCharsets.UTF_8);
            simulation.checker().onApply(simulation.now(), index, text, delegate.hash());
            delegate.checkRetriedCall();
            return result;
        }

        @Override
        public byte[] snapshot() {
            return delegate.snapshot();
        }

        @Override
        public void restore(byte[] snapshot) {
            delegate.restore(snapshot);
            restoreCount++;
            if (delegate.index() > 0) {
                simulation.checker().onStateHash(delegate.index(), delegate.hash());
            }
        }
    }
}
