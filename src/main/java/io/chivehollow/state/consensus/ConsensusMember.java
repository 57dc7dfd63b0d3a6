package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.MemberLoop.Proposal;
import org.jboss.logging.Logger;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A running member of the replica group.
 *
 * <p>One thread owns the protocol and the files. It takes all inputs that wait and makes one synced write for them, so
 * that concurrent proposals share syncs. Futures complete on that thread; what is attached to them must not block.
 * Thread-safe.
 */
public final class ConsensusMember implements ReplicatedLog {

    /** Bounds the inputs of one flush, so that a burst does not delay answers to the first of it. */
    private static final int MAX_BATCH = 4_096;

    /** Inputs that may wait; a lost message is sent again by the protocol. */
    private static final int MAX_QUEUED = 65_536;

    /** Bounds the memory of messages that wait; together with proposals and log it stays below 64 MB. */
    private static final long MAX_QUEUED_MESSAGE_BYTES = 16 << 20;

    /** Bounds the memory of commands without an outcome. */
    private static final long MAX_PROPOSED_BYTES = 8 << 20;

    /** Fine enough for a heartbeat of 250 ms, and 20 wake-ups per second cost an idle member little. */
    private static final int TICK_MS = 50;

    /** Longest wait of {@link #close} for a voter that can take over the leadership. */
    private static final long TRANSFER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Logger LOG = Logger.getLogger(ConsensusMember.class);

    private final ReplicatedLogConfig config;
    private final Clock clock;
    private final MemberLoop loop;
    private final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final AtomicLong queuedMessageBytes = new AtomicLong();
    private final AtomicLong proposedBytes = new AtomicLong();
    private final Thread thread;
    private volatile boolean isClosing;
    private volatile boolean isClosed;
    private volatile long closingSinceNanos;
    private volatile Scheduler.Timer timer = () -> {};

    private ConsensusMember(ReplicatedLogConfig config, MemberLoop loop) {
        this.config = config;
        this.clock = config.clock();
        this.loop = loop;
        this.thread = new Thread(this::run, "consensus-" + config.self());
        this.thread.setDaemon(true);
    }

    static ConsensusMember start(ReplicatedLogConfig config, MemberLoop loop) {
        ConsensusMember member = new ConsensusMember(config, loop);
        member.thread.start();
        member.timer = config.scheduler().scheduleRepeating(TICK_MS, () -> member.inputs.offer(MemberLoop::tick));
        return member;
    }

    /** Takes a message of another member; the sender has been authenticated as the instance. */
    public void receive(InstanceId from, byte[] message) {
        if (queuedMessageBytes.addAndGet(message.length) > MAX_QUEUED_MESSAGE_BYTES) {
            // Dropped; the sender repeats it.
            queuedMessageBytes.addAndGet(-message.length);
            return;
        }
        boolean isQueued = inputs.offer(member -> {
            queuedMessageBytes.addAndGet(-message.length);
            member.receive(from, message);
        });
        if (!isQueued) {
            queuedMessageBytes.addAndGet(-message.length);
        }
    }

    @Override
    public CompletableFuture<Applied> propose(byte[] command) {
        checkArgument(
                command.length <= MemberLoop.MAX_COMMAND_BYTES,
                "A command has at most %s bytes, but this one has %s",
                MemberLoop.MAX_COMMAND_BYTES,
                command.length);
        CompletableFuture<Applied> outcome = new CompletableFuture<>();
        outcome.whenComplete((applied, failure) -> proposedBytes.addAndGet(-command.length));
        if (proposedBytes.addAndGet(command.length) > MAX_PROPOSED_BYTES) {
            outcome.completeExceptionally(
                    StateException.refused(ErrorCode.OVERLOADED, "Too many bytes are proposed", null));
        } else if (isClosing || isClosed) {
            outcome.completeExceptionally(
                    StateException.refused(ErrorCode.SHUTTING_DOWN, "The member is shutting down", null));
        } else if (!inputs.offer(new ProposalInput(new Proposal(command, outcome)))) {
            outcome.completeExceptionally(
                    StateException.refused(ErrorCode.OVERLOADED, "Too many inputs are waiting", null));
        } else if (isClosed) {
            // The loop may have ended before it could take the proposal.
            drainAfterClose();
        }
        return outcome;
    }

    @Override
    public CompletableFuture<Applied> admit(InstanceId instance) {
        return changeMembers(member -> member.admit(instance));
    }

    @Override
    public CompletableFuture<Applied> remove(InstanceId instance) {
        return changeMembers(member -> member.remove(instance));
    }

    private CompletableFuture<Applied> changeMembers(Function<MemberLoop, CompletableFuture<Applied>> change) {
        ChangeInput input = new ChangeInput(change, new CompletableFuture<>());
        if (isClosing || isClosed || !inputs.offer(input)) {
            input.fail(StateException.refused(ErrorCode.SHUTTING_DOWN, "The member takes no changes now", null));
        } else if (isClosed) {
            // The loop may have ended before it could take the change.
            drainAfterClose();
        }
        return input.outcome();
    }

    @Override
    public boolean holdsLease() {
        return !isClosed && loop.view().holdsLease(clock.nanoTime());
    }

    @Override
    public long leaseStartNanos() {
        return loop.view().leaseStartNanos();
    }

    @Override
    public long ageMs() {
        return isClosed ? Long.MAX_VALUE : loop.view().ageMs(clock.nanoTime());
    }

    @Override
    public List<InstanceId> members() {
        return loop.view().members();
    }

    @Override
    public Status status() {
        return loop.view().status();
    }

    private void run() {
        List<Input> batch = new ArrayList<>();
        try {
            while (!isClosed) {
                batch.add(inputs.take());
                inputs.drainTo(batch, MAX_BATCH);
                handle(batch);
                batch.clear();
                if (isClosing) {
                    boolean isLate = clock.nanoTime() - closingSinceNanos > TRANSFER_WAIT_NANOS;
                    isClosed = loop.transferLeadership() || isLate;
                }
                loop.flush();
            }
        } catch (InterruptedException e) {
            LOG.debugf("Member %s is stopped", config.self());
            // An error of the loop leaves memory and disk in an unknown relation, so the member stops for good.
        } catch (RuntimeException | Error e) {
            isClosed = true;
            LOG.errorf(e, "Member %s has failed and stops", config.self());
            config.onFatal().accept(e);
        } finally {
            isClosed = true;
            timer.cancel();
            failProposals(batch, StateException.unknown(ErrorCode.STORAGE_FAILED, "The member has failed"));
            drainAfterClose();
            loop.close();
        }
    }

    private void handle(List<Input> batch) {
        List<Proposal> proposals = new ArrayList<>();
        for (Input input : batch) {
            if (input instanceof ProposalInput proposalInput) {
                proposals.add(proposalInput.proposal());
            } else {
                input.accept(loop);
                if (loop.isWriteDue()) {
                    loop.flush();
                }
            }
        }
        if (!proposals.isEmpty()) {
            loop.propose(proposals);
        }
    }

    private void drainAfterClose() {
        List<Input> rest = new ArrayList<>();
        inputs.drainTo(rest);
        failProposals(rest, StateException.refused(ErrorCode.SHUTTING_DOWN, "The member is shutting down", null));
    }

    private static void failProposals(List<Input> inputs, StateException failure) {
        for (Input input : inputs) {
            input.fail(failure);
        }
    }

    /** Hands the leadership over if possible, and stops this member. */
    @Override
    public void close() {
        closingSinceNanos = clock.nanoTime();
        isClosing = true;
        inputs.offer(member -> {});
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that the loop's thread is to do. */
    private interface Input {
        void accept(MemberLoop loop);

        /** Ends the input if the loop will not take it. */
        default void fail(StateException failure) {}
    }

    /**
     * A change of the members.
     *
     * @param change asks the loop for the change
     * @param outcome completes when the change is committed or has failed
     */
    private record ChangeInput(
            Function<MemberLoop, CompletableFuture<Applied>> change, CompletableFuture<Applied> outcome)
            implements Input {
        @Override
        public void accept(MemberLoop loop) {
            change.apply(loop).whenComplete((applied, failure) -> {
                if (failure == null) {
                    outcome.complete(applied);
                } else {
                    outcome.completeExceptionally(failure);
                }
            });
        }

        @Override
        public void fail(StateException failure) {
            outcome.completeExceptionally(failure);
        }
    }

    /**
     * A proposal; all proposals of a batch are appended together.
     *
     * @param proposal the proposal
     */
    private record ProposalInput(Proposal proposal) implements Input {
        @Override
        public void accept(MemberLoop loop) {
            loop.propose(List.of(proposal));
        }

        @Override
        public void fail(StateException failure) {
            proposal.outcome().completeExceptionally(failure);
        }
    }
}
