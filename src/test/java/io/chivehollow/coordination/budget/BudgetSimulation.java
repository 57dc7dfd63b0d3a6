package io.chivehollow.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.SavedBudget;

/**
 * Simulates borrowers and a lender with simulated time and network, and records the charges.
 *
 * <p>The clocks of borrowers drift by up to 4.5% in either direction, so that two of them differ by less than 10%.
 */
final class BudgetSimulation {

    static final TeamId TEAM = TeamId.of("team");

    final SplittableRandom random;
    final SimulatedTime time = new SimulatedTime();
    TeamBudget budget;
    private final List<Charge> charges = new ArrayList<>();
    private final Map<Long, Charge> chargeByRefund = new HashMap<>();
    final List<Node> nodes = new ArrayList<>();
    long requests;
    long refused;
    long waited;
    private final Faults faults;
    private final BudgetOptions lenderOptions;
    private final BudgetOptions borrowerOptions;
    private final RefundRule refundRule;
    private final LogFault logFault;

    /** The last committed checkpoint in the replicated log, if any. */
    private Optional<BudgetCheckpoint> checkpoint = Optional.empty();

    private BudgetLender lender;
    private LendingPeriod period;
    private long checkpoints;

    /** The checkpoint that is being committed, if any. */
    private Optional<List<SavedBudget>> openCheckpoint = Optional.empty();

    private boolean hasLeader;

    /**
     * Faults of a run.
     *
     * @param lostShare share of the messages that are lost
     * @param lateShare share of the messages that are delayed by up to 6 s
     * @param leaderChanges whether the leader changes
     * @param partitions whether nodes are temporarily disconnected from the leader
     */
    record Faults(double lostShare, double lateShare, boolean leaderChanges, boolean partitions) {
        static Faults none() {
            return new Faults(0, 0, false, false);
        }
    }

    /** Faults of the simulated log that violate its guarantees, for tests of the checker. */
    enum LogFault {
        NONE,
        /** The next leader receives no checkpoint. */
        IGNORED_BY_THE_NEXT_LEADER,
        /** Checkpoints after the first are reported as committed but are not stored. */
        LOST_AFTER_THE_FIRST
    }

    /** Tokens charged to a request at its admission, less later credits. */
    private static final class Charge {
        private final long timeNanos;
        private final long actualTokens;
        private long tokens;

        Charge(long timeNanos, long tokens, long actualTokens) {
            this.timeNanos = timeNanos;
            this.tokens = tokens;
            this.actualTokens = actualTokens;
        }
    }

    BudgetSimulation(
            SplittableRandom random,
            TeamBudget budget,
            Faults faults,
            BudgetOptions lenderOptions,
            BudgetOptions borrowerOptions,
            RefundRule refundRule) {
        this(random, budget, faults, lenderOptions, borrowerOptions, refundRule, LogFault.NONE);
    }

    BudgetSimulation(
            SplittableRandom random,
            TeamBudget budget,
            Faults faults,
            BudgetOptions lenderOptions,
            BudgetOptions borrowerOptions,
            RefundRule refundRule,
            LogFault logFault) {
        this.logFault = logFault;
        this.random = random;
        this.budget = budget;
        this.faults = faults;
        this.lenderOptions = lenderOptions;
        this.borrowerOptions = borrowerOptions;
        this.refundRule = (refund, burst, highest) -> credited(refund, refundRule.credit(refund, burst, highest));
        newLeader();
        int count = random.nextInt(2, 6);
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::send);
        scheduleCheckpoints();
        if (faults.leaderChanges()) {
            scheduleLeaderChange();
        }
    }

    private void newLeader() {
        if (random.nextBoolean()) {
            // A proposal of the previous leader may still be committed before the first entry of this one.
            openCheckpoint.ifPresent(this::commit);
        }
        openCheckpoint = Optional.empty();
        lender = new BudgetLender(lenderOptions, refundRule);
        long term = period == null ? 1 : period.term() + random.nextInt(0, 2);
        period = new LendingPeriod(term, time.nowNanos());
        boolean isIgnored = logFault == LogFault.IGNORED_BY_THE_NEXT_LEADER;
        lender.start(period, isIgnored ? List.of() : checkpoint.stream().toList());
        hasLeader = true;
    }

    private void scheduleLeaderChange() {
        time.schedule(random.nextLong(500, 12_000), () -> {
            // One leader in three shuts down cleanly and saves its budgets; it may still receive reports afterwards.
            boolean isOrderly = random.nextInt(3) == 0;
            if (isOrderly) {
                commit(lender.stop(this::budgetOf, period, time.nowNanos()));
            }
            hasLeader = isOrderly;
            time.schedule(random.nextBoolean() ? random.nextLong(200) : random.nextLong(3_000), () -> {
                newLeader();
                scheduleLeaderChange();
            });
        });
    }

    /** Stops the leader without a clean shutdown at {@code atMs}; the next one starts {@code withoutLeaderMs} later. */
    void loseLeader(long atMs, long withoutLeaderMs) {
        time.schedule(atMs, () -> {
            hasLeader = false;
            time.schedule(withoutLeaderMs, this::newLeader);
        });
    }

    private void scheduleCheckpoints() {
        time.scheduleRepeating(2_000, () -> {
            if (hasLeader) {
                writeCheckpoint(() -> {});
            }
        });
    }

    /**
     * Writes a checkpoint unless one is open.
     *
     * <p>It is committed after a delay, or never, as when the leader fails. Its outcome may remain unknown.
     */
    private void writeCheckpoint(Runnable whenDone) {
        if (openCheckpoint.isPresent()) {
            time.schedule(1, whenDone);
            return;
        }
        BudgetLender checkpointLender = lender;
        LendingPeriod checkpointPeriod = period;
        List<SavedBudget> budgets = checkpointLender.startCheckpoint(this::budgetOf, checkpointPeriod, time.nowNanos());
        if (budgets.isEmpty()) {
            whenDone.run();
            return;
        }
        openCheckpoint = Optional.of(budgets);
        boolean isUnknown = random.nextInt(10) == 0;
        boolean isCommitted = !isUnknown || random.nextBoolean();
        time.scheduleNanos(TimeUnit.MICROSECONDS.toNanos(random.nextLong(500, 40_000)), () -> {
            if (!checkpointPeriod.equals(period)) {
                return;
            }
            if (isCommitted) {
                commit(budgets);
            }
            openCheckpoint = Optional.empty();
            checkpointLender.endCheckpoint(checkpointPeriod, budgets, !isUnknown);
            whenDone.run();
        });
    }

    private void commit(List<SavedBudget> budgets) {
        checkpoints++;
        if (logFault == LogFault.LOST_AFTER_THE_FIRST && checkpoints > 1) {
            return;
        }
        // The next leader may have applied the entry later than the current one.
        long seenNanos = time.nowNanos() + TimeUnit.MILLISECONDS.toNanos(random.nextLong(300));
        budgets.forEach(saved ->
                checkpoint = saved.getFull() ? Optional.empty() : Optional.of(new BudgetCheckpoint(saved, seenNanos)));
    }

    Optional<TeamBudget> budgetOf(TeamId team) {
        return team.equals(TEAM) ? Optional.of(budget) : Optional.empty();
    }

    /** Charges a request at the node and settles it after {@code settleMs}, or never if that is negative. */
    void request(Node node, long tokens, long actualTokens, long settleMs, long waitMs) {
        requests++;
        long sentNanos = time.nowNanos();
        node.borrower.reserve(TEAM, tokens, waitMs).whenComplete((reservation, failure) -> {
            if (failure != null) {
                refused++;
                return;
            }
            if (time.nowNanos() - sentNanos > TimeUnit.MILLISECONDS.toNanos(200)) {
                waited++;
            }
            // Each refund has a unique amount, so that a credit can be assigned to its charge.
            boolean isRefunded = settleMs >= 0 && !chargeByRefund.containsKey(tokens - actualTokens);
            Charge charge = new Charge(time.nowNanos(), tokens, isRefunded ? actualTokens : tokens);
            charges.add(charge);
            if (isRefunded) {
                chargeByRefund.put(tokens - actualTokens, charge);
                time.schedule(settleMs, () -> reservation.settle(actualTokens));
            }
        });
    }

    private long credited(long refundTokens, long creditTokens) {
        chargeByRefund.get(refundTokens).tokens -= creditTokens;
        return creditTokens;
    }

    /** Returns the largest excess over burst + rate x time in any time window; at most 0 if there is none. */
    double excess(TeamBudget limit) {
        double rate = limit.rateTokensPerSecond();
        double worst = Double.NEGATIVE_INFINITY;
        double used = 0;
        double lowest = Double.POSITIVE_INFINITY;
        for (Charge charge : charges) {
            double refilled = rate * charge.timeNanos / TimeUnit.SECONDS.toNanos(1);
            lowest = Math.min(lowest, used - refilled);
            if (charge.tokens < charge.actualTokens) {
                throw new IllegalStateException("More tokens were credited than the request left unused");
            }
            used += charge.tokens;
            worst = Math.max(worst, used - refilled - lowest - limit.burstTokens());
        }
        return worst;
    }

    /** Sends a message through the simulated network, which may delay or lose it. */
    private void deliver(Runnable arrival) {
        double chance = random.nextDouble();
        if (chance < faults.lostShare()) {
            return;
        }
        boolean isLate = chance < faults.lostShare() + faults.lateShare();
        long delayMicros = isLate ? random.nextLong(1_000, 6_000_000) : random.nextLong(200, 1_500);
        time.scheduleNanos(TimeUnit.MICROSECONDS.toNanos(delayMicros), arrival);
    }

    private void lend(Borrow report, Consumer<Optional<Loan>> response) {
        if (!hasLeader) {
            response.accept(Optional.empty());
            return;
        }
        if (lender.needsCheckpoint(report, this::budgetOf, period, time.nowNanos())) {
            writeCheckpoint(() -> lendNow(report, response));
        } else {
            lendNow(report, response);
        }
    }

    private void lendNow(Borrow report, Consumer<Optional<Loan>> response) {
        response.accept(hasLeader ? lender.borrow(report, this::budgetOf, period, time.nowNanos()) : Optional.empty());
    }

    /** A gateway that has a borrower and sends its reports periodically. */
    final class Node {

        private final int position;
        BudgetBorrower borrower;
        private long attempt;
        private boolean isSent;
        private boolean isPartitioned;

        Node(int position) {
            this.position = position;
            start();
            time.scheduleRepeating(50, () -> borrower.expireWaiting());
            if (faults.partitions()) {
                time.schedule(random.nextLong(1_000, 15_000), this::partition);
            }
        }

        private void start() {
            double speed = 0.955 + random.nextDouble() * 0.09;
            borrower = BudgetBorrower.create(
                    InstanceId.of("gateway-" + position),
                    random.nextLong(),
                    borrowerOptions,
                    BudgetSimulation.this::budgetOf,
                    time.clock(speed, random.nextLong(1L << 40)),
                    () -> scheduleSend(5));
        }

        private void partition() {
            isPartitioned = true;
            boolean isRestart = random.nextInt(4) == 0;
            time.schedule(random.nextLong(500, 12_000), () -> {
                isPartitioned = false;
                if (isRestart) {
                    start();
                }
                time.schedule(random.nextLong(500, 8_000), this::partition);
            });
        }

        private void scheduleSend(long delayMs) {
            if (isSent) {
                return;
            }
            long ownAttempt = ++attempt;
            time.schedule(delayMs, () -> {
                if (ownAttempt == attempt) {
                    send();
                }
            });
        }

        void send() {
            isSent = true;
            long ownAttempt = ++attempt;
            BudgetBorrower sender = borrower;
            Borrow report = sender.nextReport();
            if (!isPartitioned) {
                deliver(() -> lend(report, loan -> deliver(() -> onResponse(sender, ownAttempt, report, loan))));
            }
            time.schedule(500, () -> {
                if (ownAttempt == attempt && isSent) {
                    sender.onNoResponse(report.getSequence());
                    isSent = false;
                    scheduleSend(50);
                }
            });
        }

        private void onResponse(BudgetBorrower sender, long ownAttempt, Borrow report, Optional<Loan> loan) {
            if (isPartitioned || sender != borrower) {
                return;
            }
            boolean hasQueuedRequests = loan.isPresent() && sender.onLoan(loan.get());
            if (ownAttempt != attempt) {
                return;
            }
            if (loan.isEmpty()) {
                sender.onNotApplied(report.getSequence());
            }
            isSent = false;
            scheduleSend(loan.isEmpty() || hasQueuedRequests ? 50 : 500);
        }
    }
}
