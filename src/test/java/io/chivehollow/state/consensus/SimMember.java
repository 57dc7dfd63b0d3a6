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
import io.chivehollow.state.consensus.MemberLoop.Proposal;
import io.chivehollow.state.consensus.ReplicatedLog.Applied;
import io.chivehollow.state.consensus.wire.PeerMessage;
import io.chivehollow.state.consensus.wire.VoteReply;
import io.chivehollow.state.log.FileStore;
import io.chivehollow.state.log.LogStore;
import io.chivehollow.state.log.SimDisk;

/** One simulated process: the real member classes on a simulated clock, disk and network. */
final class SimMember {

    /** Small, so that states and files are sent in several parts. */
    private static final int SNAPSHOT_PART_BYTES = 300;

    final InstanceId instance;
    final int number;
    private final Simulation simulation;
    private final double clockRate;
    private final long clockOffset;
    private final RandomGenerator random;
    private final List<Consumer<MemberLoop>> inbox = new ArrayList<>();
    SimDisk disk = new SimDisk();
    MemberLoop loop;
    long generation;
    long frozenUntil;

    /** Whether a segment of records was damaged on purpose. */
    boolean hasDamagedRecords;

    private MemberPolicy policy = MemberPolicy.byOperators();
    private boolean isProcessing;
    private long incarnation;
    private int restores;

    SimMember(Simulation simulation, int number, double clockRate, RandomGenerator random) {
        this.simulation = simulation;
        this.number = number;
        this.instance = InstanceId.of("m" + number);
        this.clockRate = clockRate;
        this.clockOffset = random.nextLong(1L << 40);
        this.random = random;
    }

    boolean isUp() {
        return loop != null;
    }

    long clockNanos() {
        return clockOffset + (long) (simulation.now() * clockRate);
    }

    long trueNanos(long clockNanos) {
        return (long) ((clockNanos - clockOffset) / clockRate);
    }

    /** Sets how this member gets into the group; to be called before its next start. */
    void setPolicy(MemberPolicy newPolicy) {
        policy = newPolicy;
    }

    void start(List<InstanceId> members, Set<Mechanism> disabled, int snapshotEntries) {
        generation++;
        restores = 0;
        LogStore.Opened opened = LogStore.open(disk, instance.value(), random);
        incarnation = opened.store().memberState().incarnation();
        NodeConfig config =
                new NodeConfig(instance, members, ConsensusTimes.defaults(), SNAPSHOT_PART_BYTES, policy, disabled);
        loop = new MemberLoop(config, opened, new Machine(), this::sendTo, new MemberClock(), random, snapshotEntries);
        inbox.clear();
        isProcessing = false;
        scheduleTick(generation);
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns how often the running process has taken over a snapshot. */
    int restores() {
        return restores;
    }

    private void sendTo(InstanceId to, byte[] bytes) {
        try {
            PeerMessage message = PeerMessage.parseFrom(bytes);
            VoteReply vote = message.getVoteReply();
            boolean helpsAnother = message.hasTransfer() || (vote.getGranted() && !vote.getPre());
            if (helpsAnother && holdsLease()) {
                throw new Checker.ViolationException(instance + " helps another leader while it shows a lease");
            }
        } catch (InvalidProtocolBufferException e) {
            throw new Checker.ViolationException("Malformed message of " + instance);
        }
        simulation.send(this, to, bytes);
    }

    private void scheduleTick(long tickGeneration) {
        simulation.after((long) (50_000_000 / clockRate), () -> {
            if (generation == tickGeneration && isUp()) {
                input(MemberLoop::tick);
                scheduleTick(tickGeneration);
            }
        });
    }

    /** Ends the process; the disk keeps what was synced and perhaps more. */
    void crash() {
        loop = null;
        generation++;
        disk = disk.crash(random);
    }

    void input(Consumer<MemberLoop> input) {
        if (!isUp()) {
            return;
        }
        inbox.add(input);
        if (isProcessing) {
            return;
        }
        isProcessing = true;
        long started = generation;
        long delay = Math.max(0, frozenUntil - simulation.now()) + random.nextLong(2_000_000);
        simulation.after(delay, () -> {
            if (generation == started && isUp()) {
                process();
            }
        });
    }

    private void process() {
        if (simulation.now() < frozenUntil) {
            simulation.after(frozenUntil - simulation.now(), this::processAgain);
            return;
        }
        isProcessing = false;
        List<Consumer<MemberLoop>> batch = List.copyOf(inbox);
        inbox.clear();
        try {
            for (Consumer<MemberLoop> item : batch) {
                item.accept(loop);
            }
            loop.flush();
        } catch (SimDisk.CrashException e) {
            crash();
        } catch (StateException e) {
            simulation.onFatal(this, e);
        } catch (IllegalStateException e) {
            throw new Checker.ViolationException(instance + " failed: " + e.getMessage());
        }
    }

    private void processAgain() {
        if (isUp()) {
            process();
        }
    }

    void propose(String command) {
        CompletableFuture<Applied> outcome = new CompletableFuture<>();
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
        return isUp() && loop.view().holdsLease(clockNanos());
    }

    /** Checks the claimed age of this member's state. */
    void checkAge() {
        if (!isUp()) {
            return;
        }
        MemberView view = loop.view();
        long asOf = holdsLease() ? clockNanos() : view.freshAsOfNanos();
        if (asOf != Progress.NEVER) {
            simulation
                    .checker()
                    .checkFreshness(
                            // Less the rounding error of the simulated clocks.
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

    /** Reports to the checker what the machine does. */
    private final class Machine implements StateMachine {
        private final CallMachine calls = new CallMachine(simulation.newState(), simulation.checker());

        @Override
        public SnapshotFiles open(FileStore folder) {
            return calls.open(folder);
        }

        @Override
        public boolean hasRoom() {
            return calls.hasRoom();
        }

        @Override
        public byte[] apply(long index, byte[] command) {
            byte[] result = calls.apply(index, command);
            String text = new String(command, StandardCharsets.UTF_8);
            simulation.checker().onApply(simulation.now(), index, text, calls.hash());
            calls.checkResend();
            return result;
        }

        @Override
        public byte[] snapshot() {
            return calls.snapshot();
        }

        @Override
        public void restore(byte[] snapshot) {
            calls.restore(snapshot);
            restores++;
            if (calls.index() > 0) {
                simulation.checker().onState(calls.index(), calls.hash());
            }
        }
    }
}
