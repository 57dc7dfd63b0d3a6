package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.MemberDriver.Proposal;
import org.jboss.logging.Logger;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A running member of the replica group.
 *
 * <p>One thread owns the protocol state and the files. It takes all queued inputs and performs one synced write for
 * them, so that concurrent proposals share syncs. Futures complete on that thread; their dependent actions must not
 * block. Thread-safe.
 */
public final class ConsensusMember implements ReplicatedLog {

    /** Limits the inputs per flush, so that a burst does not delay the responses to its first inputs. */
    private static final int MAX_BATCH_INPUTS = 4_096;

    /** Maximum number of queued inputs. Further messages are discarded; the protocol retries them. */
    private static final int MAX_QUEUED_INPUTS = 65_536;

    /** Limits the memory of queued messages; together with proposals and the log they take less than 64 MB. */
    private static final long MAX_QUEUED_MESSAGE_BYTES = 16 << 20;

    /** Limits the memory of commands that have no outcome yet. */
    private static final long MAX_PROPOSED_BYTES = 8 << 20;

    /**
     * Short compared with the default heartbeat interval of 250 ms; 20 wake-ups per second cost an idle member little.
     */
    private static final int TICK_INTERVAL_MS = 50;

    /** Maximum time that {@link #close} waits for a voter that can take over the leadership. */
    private static final long TRANSFER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum time that {@link #awaitLeft} waits. */
    private static final int LEAVE_WAIT_MS = 500;

    private static final Logger LOG = Logger.getLogger(ConsensusMember.class);

    private final ReplicatedLogConfig config;
    private final Clock clock;
    private final MemberDriver driver;
    private final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>(MAX_QUEUED_INPUTS);
    private final AtomicLong queuedMessageBytes = new AtomicLong();
    private final AtomicLong proposedBytes = new AtomicLong();
    private final MemberLog memberLog = new MemberLog();
    private final CountDownLatch left = new CountDownLatch(1);
    private final Thread thread;
    private volatile boolean isLeaving;
    private volatile boolean isClosing;
    private volatile boolean isClosed;
    private volatile long closeStartNanos;
    private volatile Scheduler.Timer timer = () -> {};

    private ConsensusMember(ReplicatedLogConfig config, MemberDriver driver) {
        this.config = config;
        this.clock = config.clock();
        this.driver = driver;
        this.thread = new Thread(this::run, "consensus-" + config.self());
        this.thread.setDaemon(true);
    }

    static ConsensusMember start(ReplicatedLogConfig config, MemberDriver driver) {
        ConsensusMember member = new ConsensusMember(config, driver);
        member.thread.start();
        member.timer =
                config.scheduler().scheduleRepeating(TICK_INTERVAL_MS, () -> member.inputs.offer(MemberDriver::tick));
        return member;
    }

    /**
     * Queues a message of another member. The caller has authenticated the sender as the instance {@code from}.
     *
     * <p>Discards the message if the queue is full or if the queued messages would exceed their limit in bytes; the
     * sender retries it.
     */
    public void receive(InstanceId from, byte[] message) {
        if (queuedMessageBytes.addAndGet(message.length) > MAX_QUEUED_MESSAGE_BYTES) {
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
    public CompletableFuture<AppliedEntry> propose(byte[] command) {
        checkArgument(
                command.length <= MemberDriver.MAX_COMMAND_BYTES,
                "A command may have at most %s bytes, but this one has %s",
                MemberDriver.MAX_COMMAND_BYTES,
                command.length);
        CompletableFuture<AppliedEntry> outcome = new CompletableFuture<>();
        outcome.whenComplete((applied, failure) -> proposedBytes.addAndGet(-command.length));
        if (proposedBytes.addAndGet(command.length) > MAX_PROPOSED_BYTES) {
            outcome.completeExceptionally(StateException.refused(
                    ErrorCode.OVERLOADED, "The byte limit of commands without an outcome is reached", null));
        } else if (isClosing || isClosed) {
            outcome.completeExceptionally(
                    StateException.refused(ErrorCode.SHUTTING_DOWN, "The member is shutting down", null));
        } else if (!inputs.offer(new ProposalInput(new Proposal(command, outcome)))) {
            outcome.completeExceptionally(
                    StateException.refused(ErrorCode.OVERLOADED, "The input queue of the member is full", null));
        } else if (isClosed) {
            // The thread may have ended before it could take the proposal.
            failQueuedInputs();
        }
        return outcome;
    }

    @Override
    public CompletableFuture<AppliedEntry> admit(InstanceId instance) {
        return changeMembers(member -> member.admit(instance));
    }

    @Override
    public CompletableFuture<AppliedEntry> remove(InstanceId instance) {
        return changeMembers(member -> member.remove(instance));
    }

    private CompletableFuture<AppliedEntry> changeMembers(
            Function<MemberDriver, CompletableFuture<AppliedEntry>> change) {
        MembershipChangeInput input = new MembershipChangeInput(change, new CompletableFuture<>());
        if (isClosing || isClosed || !inputs.offer(input)) {
            input.fail(StateException.refused(
                    ErrorCode.SHUTTING_DOWN, "The member is shutting down or its input queue is full", null));
        } else if (isClosed) {
            // The thread may have ended before it could take the change.
            failQueuedInputs();
        }
        return input.outcome();
    }

    @Override
    public boolean holdsLease() {
        return !isClosed && driver.view().holdsLease(clock.nanoTime());
    }

    @Override
    public long leaseStartNanos() {
        return driver.view().leaseStartNanos();
    }

    @Override
    public long maxStalenessMs() {
        return isClosed ? Long.MAX_VALUE : driver.view().maxStalenessMs(clock.nanoTime());
    }

    @Override
    public List<InstanceId> members() {
        return driver.view().members();
    }

    @Override
    public Status status() {
        return driver.view().status();
    }

    private void run() {
        List<Input> batch = new ArrayList<>();
        try {
            while (!isClosed) {
                batch.add(inputs.take());
                inputs.drainTo(batch, MAX_BATCH_INPUTS);
                handle(batch);
                batch.clear();
                if (isLeaving && driver.leave()) {
                    left.countDown();
                }
                if (isClosing) {
                    boolean isLate = clock.nanoTime() - closeStartNanos > TRANSFER_WAIT_NANOS;
                    isClosed = driver.transferLeadership() || isLate;
                }
                driver.flush();
                memberLog.update(driver.view());
            }
        } catch (InterruptedException e) {
            LOG.debugf("Member %s was interrupted and stops", config.self());
            // After an error, memory and disk may be inconsistent, so the member stops permanently.
        } catch (RuntimeException | Error e) {
            isClosed = true;
            LOG.errorf(e, "Member %s stops after a fatal error", config.self());
            config.onFatal().accept(e);
        } finally {
            isClosed = true;
            left.countDown();
            timer.cancel();
            failInputs(
                    batch,
                    StateException.mayHaveRun(
                            ErrorCode.STORAGE_FAILED,
                            "The member stopped after a fatal error; the outcome is unknown"));
            failQueuedInputs();
            driver.close();
        }
    }

    private void handle(List<Input> batch) {
        List<Proposal> proposals = new ArrayList<>();
        for (Input input : batch) {
            if (input instanceof ProposalInput proposalInput) {
                proposals.add(proposalInput.proposal());
            } else {
                input.accept(driver);
                if (driver.isFlushDue()) {
                    driver.flush();
                }
            }
        }
        if (!proposals.isEmpty()) {
            driver.propose(proposals);
        }
    }

    private void failQueuedInputs() {
        List<Input> rest = new ArrayList<>();
        inputs.drainTo(rest);
        failInputs(rest, StateException.refused(ErrorCode.SHUTTING_DOWN, "The member is shutting down", null));
    }

    private static void failInputs(List<Input> inputs, StateException failure) {
        for (Input input : inputs) {
            input.fail(failure);
        }
    }

    /**
     * States to the group that this member is about to stop. A leader transfers its leadership. A surplus voter of a
     * group with automatic membership becomes a learner, which still receives the log.
     */
    public void beginLeaving() {
        isLeaving = true;
        inputs.offer(member -> {});
    }

    /** Waits, at most 500 ms, until the group can do without this member as far as possible. */
    public void awaitLeft() {
        beginLeaving();
        try {
            if (!left.await(LEAVE_WAIT_MS, TimeUnit.MILLISECONDS)) {
                LOG.warnf("Member %s stops although the group may still depend on it", config.self());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops this member. A leader first tries to transfer its leadership to another voter. */
    @Override
    public void close() {
        closeStartNanos = clock.nanoTime();
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

    /** Work for the thread of the member. */
    private interface Input {
        void accept(MemberDriver driver);

        /** Completes the input exceptionally if the thread will not process it. */
        default void fail(StateException failure) {}
    }

    /**
     * A membership change.
     *
     * @param change requests the change from the driver
     * @param outcome completes when the change is committed or has failed
     */
    private record MembershipChangeInput(
            Function<MemberDriver, CompletableFuture<AppliedEntry>> change, CompletableFuture<AppliedEntry> outcome)
            implements Input {
        @Override
        public void accept(MemberDriver driver) {
            change.apply(driver).whenComplete((applied, failure) -> {
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

    /** A proposal; all proposals of a batch are appended to the log together. */
    private record ProposalInput(Proposal proposal) implements Input {
        @Override
        public void accept(MemberDriver driver) {
            driver.propose(List.of(proposal));
        }

        @Override
        public void fail(StateException failure) {
            proposal.outcome().completeExceptionally(failure);
        }
    }
}
