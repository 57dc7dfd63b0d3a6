package io.chivehollow.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.IntConsumer;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.LoanItem;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Borrows budgets from the replica leader and charges requests against them.
 *
 * <p>Pure: {@link #nextReport} returns the message to send, {@link #onLoan} takes its answer. One report is open at a
 * time and keeps its sequence number until it is answered, so that the lender can take it exactly once.
 *
 * <p>Thread-safe: teams are in shards, each under its own lock; reports are guarded by a lock of their own, which is
 * taken first. Futures are completed outside the locks.
 */
public final class BudgetBorrower {

    private static final int SHARDS = 16;

    private final InstanceId instance;
    private final long incarnation;
    private final BudgetOptions options;
    private final Function<TeamId, Optional<TeamBudget>> budgets;
    private final Clock clock;
    private final Runnable onNewNeed;
    private volatile IntConsumer answerListener = borrowers -> {};
    private final List<Map<String, TeamLoans>> shards = new ArrayList<>();
    private final Object reportLock = new Object();
    private @Nullable LendingPeriod period;
    private @Nullable OpenReport open;
    private long lastSequence;

    private BudgetBorrower(
            InstanceId instance,
            long incarnation,
            BudgetOptions options,
            Function<TeamId, Optional<TeamBudget>> budgets,
            Clock clock,
            Runnable onNewNeed) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.options = options;
        this.budgets = budgets;
        this.clock = clock;
        this.onNewNeed = onNewNeed;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new HashMap<>());
        }
    }

    /**
     * Returns a borrower that holds nothing.
     *
     * @param instance the borrowing instance
     * @param incarnation random number that differs in each run of the process
     * @param options times of the protocol
     * @param budgets budgets of the teams in the configuration
     * @param clock clock of this process
     * @param onNewNeed called when a request waits and a report should be sent before the next regular one
     */
    public static BudgetBorrower create(
            InstanceId instance,
            long incarnation,
            BudgetOptions options,
            Function<TeamId, Optional<TeamBudget>> budgets,
            Clock clock,
            Runnable onNewNeed) {
        return new BudgetBorrower(instance, incarnation, options, budgets, clock, onNewNeed);
    }

    /**
     * Charges the tokens to the team, now or when a loan arrives within the time.
     *
     * <p>The future fails with {@code RATE_LIMITED}, "not run", at once if the tokens exceed the team's burst and
     * otherwise when the time is over. Cancelling the future gives up the place in the queue.
     */
    public CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs) {
        checkArgument(tokens > 0, "tokens must be positive, but was %s", tokens);
        Optional<TeamBudget> budget = budgets.apply(team);
        if (budget.isEmpty() || budget.get().burstTokens() < tokens) {
            return CompletableFuture.failedFuture(CoordinationException.notRun(
                    ErrorCode.RATE_LIMITED,
                    "The request costs " + tokens + " tokens, more than the burst of team " + team));
        }
        long nowNanos = clock.nanoTime();
        CompletableFuture<Reservation> reservation = new CompletableFuture<>();
        CoordinationException late = CoordinationException.notRun(
                ErrorCode.RATE_LIMITED,
                "Team " + team + " had no budget for " + tokens + " tokens within " + waitMs + " ms");
        List<Runnable> completions = new ArrayList<>();
        Map<String, TeamLoans> shard = shardOf(team.value());
        boolean hasNewNeed;
        synchronized (shard) {
            TeamLoans loans =
                    shard.computeIfAbsent(team.value(), id -> new TeamLoans(options.advanceDivisor(), nowNanos));
            TeamLoans.Waiter waiter = new TeamLoans.Waiter(
                    tokens,
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMs),
                    loans.nextOrder(),
                    reservation::isDone,
                    admissionNanos -> admit(reservation, new Charge(team, tokens, admissionNanos)),
                    () -> reservation.completeExceptionally(late));
            loans.add(waiter, budget.get().burstTokens(), nowNanos, completions);
            hasNewNeed = loans.hasNewNeed();
        }
        completions.forEach(Runnable::run);
        if (hasNewNeed) {
            onNewNeed.run();
        }
        return reservation;
    }

    private static void admit(CompletableFuture<Reservation> reservation, Charge charge) {
        if (!reservation.complete(charge)) {
            // The caller gave up at the same moment.
            charge.settle(0);
        }
    }

    /** Refuses the requests whose time is over; to be called every few tens of milliseconds. */
    public void expireWaiting() {
        serveAll(clock.nanoTime());
    }

    private boolean serveAll(long nowNanos) {
        List<Runnable> completions = new ArrayList<>();
        boolean hasNewNeed = false;
        for (Map<String, TeamLoans> shard : shards) {
            synchronized (shard) {
                for (Map.Entry<String, TeamLoans> entry : shard.entrySet()) {
                    long burstTokens = budgets.apply(TeamId.of(entry.getKey()))
                            .map(TeamBudget::burstTokens)
                            .orElse(0L);
                    entry.getValue().serve(burstTokens, nowNanos, completions);
                    hasNewNeed |= entry.getValue().hasNewNeed();
                }
            }
        }
        completions.forEach(Runnable::run);
        return hasNewNeed;
    }

    /** Returns the report to send now: the open one again, or a new one. */
    public Borrow nextReport() {
        synchronized (reportLock) {
            long nowNanos = clock.nanoTime();
            if (open == null) {
                open = startReport(nowNanos);
            } else if (!open.mayHaveArrived) {
                open.firstSentNanos = nowNanos;
            }
            open.mayHaveArrived = true;
            Borrow.Builder report = Borrow.newBuilder()
                    .setInstance(instance.value())
                    .setIncarnation(incarnation)
                    .setSequence(open.sequence);
            if (period != null) {
                report.setTerm(period.term()).setLease(period.leaseStartNanos());
            }
            for (String team : open.teams) {
                Map<String, TeamLoans> shard = shardOf(team);
                synchronized (shard) {
                    TeamLoans loans = shard.get(team);
                    if (loans != null) {
                        report.addItems(loans.report(team, nowNanos));
                    }
                }
            }
            return report.build();
        }
    }

    private OpenReport startReport(long nowNanos) {
        Set<String> teams = new HashSet<>();
        for (Map<String, TeamLoans> shard : shards) {
            synchronized (shard) {
                shard.values().removeIf(TeamLoans::isIdle);
                shard.forEach((team, loans) -> {
                    loans.startReport(nowNanos);
                    teams.add(team);
                });
            }
        }
        return new OpenReport(++lastSequence, teams, nowNanos);
    }

    /** Says that the lender has certainly not taken the report that was sent last. */
    public void onNotTaken(long sequence) {
        synchronized (reportLock) {
            if (open != null && open.sequence == sequence && !open.wasUncertain) {
                open.mayHaveArrived = false;
            }
        }
    }

    /** Says that it is not known whether the lender has taken the report that was sent last. */
    public void onNoAnswer(long sequence) {
        synchronized (reportLock) {
            if (open != null && open.sequence == sequence) {
                open.wasUncertain = true;
            }
        }
    }

    /** Calls the listener with the number of borrowers in each answer of the lender. */
    public void onAnswer(IntConsumer listener) {
        answerListener = listener;
    }

    /** Takes the lender's answer and returns whether requests are waiting for more. */
    public boolean onLoan(Loan loan) {
        answerListener.accept(loan.getBorrowers());
        synchronized (reportLock) {
            LendingPeriod answered = new LendingPeriod(loan.getTerm(), loan.getLease());
            boolean isOfOpen = open != null && open.sequence == loan.getSequence();
            if (!isOfOpen || (period != null && answered.isOlderThan(period))) {
                return false;
            }
            boolean isNewPeriod = !answered.equals(period);
            // The lender's period starts later than this; a shorter validity is always safe.
            long validUntilNanos = open.firstSentNanos + TimeUnit.MILLISECONDS.toNanos(options.validMs());
            take(loan, isNewPeriod, validUntilNanos);
            period = answered;
            open = null;
        }
        return serveAll(clock.nanoTime());
    }

    private void take(Loan loan, boolean isNewPeriod, long validUntilNanos) {
        Map<String, LoanItem> items = new HashMap<>();
        loan.getItemsList().forEach(item -> items.put(item.getTeam(), item));
        for (Map<String, TeamLoans> shard : shards) {
            synchronized (shard) {
                shard.forEach((team, loans) -> {
                    LoanItem item = items.get(team);
                    if (item != null && loans.isReported()) {
                        loans.onLoan(
                                item.getLentTokens(),
                                item.getRenewed(),
                                item.getRecall(),
                                isNewPeriod,
                                validUntilNanos);
                    }
                });
            }
        }
    }

    private Map<String, TeamLoans> shardOf(String team) {
        return shards.get(Math.floorMod(team.hashCode(), SHARDS));
    }

    /** The report that waits for its answer; guarded by the report lock. */
    private static final class OpenReport {

        private final long sequence;
        private final Set<String> teams;
        private long firstSentNanos;
        private boolean mayHaveArrived;
        private boolean wasUncertain;

        OpenReport(long sequence, Set<String> teams, long firstSentNanos) {
            this.sequence = sequence;
            this.teams = teams;
            this.firstSentNanos = firstSentNanos;
        }
    }

    /** A charge against a loan; settled at most once. */
    private final class Charge implements Reservation {

        private final TeamId team;
        private final long tokens;
        private final long admissionNanos;
        private final AtomicBoolean isSettled = new AtomicBoolean();

        Charge(TeamId team, long tokens, long admissionNanos) {
            this.team = team;
            this.tokens = tokens;
            this.admissionNanos = admissionNanos;
        }

        @Override
        public long tokens() {
            return tokens;
        }

        @Override
        public void settle(long actualTokens) {
            if (!isSettled.compareAndSet(false, true) || actualTokens >= tokens) {
                return;
            }
            Map<String, TeamLoans> shard = shardOf(team.value());
            synchronized (shard) {
                shard.computeIfAbsent(team.value(), id -> new TeamLoans(options.advanceDivisor(), clock.nanoTime()))
                        .addUnused(tokens - Math.max(0, actualTokens), admissionNanos);
            }
        }
    }
}
