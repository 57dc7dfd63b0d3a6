package io.chivehollow.coordination.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.budget.BudgetCheckpoint;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.LendingPeriod;
import io.chivehollow.coordination.budget.TeamBudget;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.LendingState;
import io.chivehollow.protocol.wire.SaveBudgets;
import io.chivehollow.protocol.wire.SavedBudget;
import io.chivehollow.protocol.wire.StartLending;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.ReplicatedLog;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Starts and stops the lending of a leader and writes checkpoints of the budgets to the replicated log.
 *
 * <p>The next leader continues from the last checkpoints, whether this one stops cleanly or fails. Invariants: a leader
 * lends only after its StartLending command was committed; at most one checkpoint is open, so that the log contains
 * them in the order of their creation. Thread-safe.
 */
final class LeaderLending {

    private static final Logger LOG = Logger.getLogger(LeaderLending.class);

    /** Time in ms for which a leader that stops waits until its budgets are saved. */
    private static final int SAVE_TIMEOUT_MS = 500;

    private final ReplicatedLog log;
    private final BudgetLender lender;
    private final Function<TeamId, Optional<TeamBudget>> budgets;
    private final Clock clock;
    private final Map<String, Long> checkpointNanos = new ConcurrentHashMap<>();
    private @Nullable LendingPeriod period;
    private @Nullable CompletableFuture<LendingPeriod> started;
    private CompletableFuture<Boolean> openCheckpoint = CompletableFuture.completedFuture(true);
    private @Nullable CompletableFuture<Boolean> nextCheckpoint;

    LeaderLending(ReplicatedLog log, BudgetLender lender, Function<TeamId, Optional<TeamBudget>> budgets, Clock clock) {
        this.log = log;
        this.lender = lender;
        this.budgets = budgets;
        this.clock = clock;
    }

    /**
     * Returns the lending period of this leader, or empty outside the lease or before lending has started.
     *
     * <p>A lease that lapses and is renewed in the same term continues the period: a quorum that acknowledges messages
     * of a term has not elected another leader, so no other replica has lent in the meantime.
     */
    synchronized Optional<LendingPeriod> current() {
        LendingPeriod leasePeriod = leasePeriod();
        boolean isStarted =
                leasePeriod != null && started != null && started.isDone() && !started.isCompletedExceptionally();
        return isStarted ? Optional.of(leasePeriod) : Optional.empty();
    }

    /** Starts lending unless it was started in this term; the future fails if this replica may not lend. */
    synchronized CompletableFuture<LendingPeriod> start() {
        LendingPeriod leasePeriod = leasePeriod();
        if (leasePeriod == null) {
            return CompletableFuture.failedFuture(
                    StateException.refused(ErrorCode.NOT_LEADER, "This replica does not hold the leader lease", null));
        }
        if (started == null || started.isCompletedExceptionally()) {
            Command command = Command.newBuilder()
                    .setTimeMs(clock.currentTimeMs())
                    .setStartLending(StartLending.newBuilder().setTerm(leasePeriod.term()))
                    .build();
            started = log.propose(command.toByteArray()).thenApply(applied -> onStarted(leasePeriod, applied.result()));
        }
        return started;
    }

    private LendingPeriod onStarted(LendingPeriod leasePeriod, byte[] bytes) {
        CommandResult result = resultOf(bytes);
        if (!result.getErrorCode().isEmpty()) {
            throw StateException.refused(ErrorCode.NOT_LEADER, "Another leader has started lending", null);
        }
        List<BudgetCheckpoint> checkpoints = new ArrayList<>();
        for (SavedBudget budget : result.getLending().getBudgetsList()) {
            long checkpointTime = checkpointNanos.getOrDefault(budget.getTeam(), leasePeriod.leaseStartNanos());
            checkpoints.add(new BudgetCheckpoint(budget, checkpointTime));
        }
        lender.start(leasePeriod, checkpoints);
        return leasePeriod;
    }

    /** Records when this replica applied a checkpoint; for one from a snapshot, the lease start is used instead. */
    void onCheckpoint(SaveBudgets command) {
        long nowNanos = clock.nanoTime();
        command.getState().getBudgetsList().forEach(budget -> checkpointNanos.put(budget.getTeam(), nowNanos));
    }

    private static CommandResult resultOf(byte[] bytes) {
        try {
            return CommandResult.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw StateException.refused(ErrorCode.INTERNAL, "The result of a lending command cannot be parsed", e);
        }
    }

    /**
     * Writes the budgets that need a new checkpoint; completes when the checkpoint is committed or has failed.
     *
     * <p>Calls during an open checkpoint share the next one. The result is whether the checkpoint is known to be
     * committed, or true if none was needed.
     */
    synchronized CompletableFuture<Boolean> checkpoint() {
        if (openCheckpoint.isDone()) {
            openCheckpoint = writeCheckpoint();
            return openCheckpoint;
        }
        if (nextCheckpoint == null) {
            nextCheckpoint = openCheckpoint.thenCompose(ignored -> startNextCheckpoint());
        }
        return nextCheckpoint;
    }

    private synchronized CompletableFuture<Boolean> startNextCheckpoint() {
        nextCheckpoint = null;
        openCheckpoint = writeCheckpoint();
        return openCheckpoint;
    }

    private CompletableFuture<Boolean> writeCheckpoint() {
        long nowNanos = clock.nanoTime();
        Optional<LendingPeriod> leasePeriod = current();
        if (leasePeriod.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        LendingPeriod lendingPeriod = leasePeriod.get();
        List<SavedBudget> changed = lender.startCheckpoint(budgets, lendingPeriod, nowNanos);
        if (changed.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        return proposeBudgets(lendingPeriod, changed).handle((isCommitted, failure) -> {
            boolean isKnown = failure == null && isCommitted;
            lender.endCheckpoint(lendingPeriod, changed, isKnown);
            return isKnown;
        });
    }

    private CompletableFuture<Boolean> proposeBudgets(LendingPeriod lendingPeriod, List<SavedBudget> saved) {
        LendingState state = LendingState.newBuilder()
                .setTerm(lendingPeriod.term())
                .addAllBudgets(saved)
                .build();
        Command command = Command.newBuilder()
                .setTimeMs(clock.currentTimeMs())
                .setSaveBudgets(SaveBudgets.newBuilder().setState(state))
                .build();
        try {
            return log.propose(command.toByteArray())
                    .thenApply(
                            applied -> resultOf(applied.result()).getErrorCode().isEmpty());
        } catch (IllegalArgumentException e) {
            // The command exceeds the size limit of the log.
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Returns the period of the current term, replacing that of an earlier term; null if the lease is not held. */
    private @Nullable LendingPeriod leasePeriod() {
        long term = log.status().term();
        boolean heldLeaseBefore = log.holdsLease();
        long leaseStartNanos = log.leaseStartNanos();
        // No replica leads a term twice. If the lease is held before and after, its start thus belongs to this term.
        if (!heldLeaseBefore || !log.holdsLease() || log.status().term() != term) {
            return null;
        }
        if (period == null || period.term() != term) {
            period = new LendingPeriod(term, leaseStartNanos);
            started = null;
        }
        return period;
    }

    /** Stops lending and writes the final checkpoint for the next leader; waits for at most 500 ms. */
    void stop() {
        try {
            writeLastCheckpoint().get(SAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.infof("Final checkpoint of the budgets not confirmed: %s; the next leader may use an older one", e);
        }
    }

    private synchronized CompletableFuture<Boolean> writeLastCheckpoint() {
        Optional<LendingPeriod> last = current();
        return last.isEmpty()
                ? CompletableFuture.completedFuture(false)
                : proposeBudgets(last.get(), lender.stop(budgets, last.get(), clock.nanoTime()));
    }
}
