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
 * <p>Performs no I/O: {@link #nextReport} returns the message to send and {@link #onLoan} takes the response. One
 * report is open at a time and keeps its sequence number until a response arrives, so that the lender can apply it
 * exactly once.
 *
 * <p>Thread-safe: teams are distributed over shards, each guarded by its own lock. Reports are guarded by a separate
 * lock, which is acquired before any shard lock. Futures are completed outside the locks.
 */
public final class BudgetBorrower {

    private static final int SHARDS = 16;

    private final InstanceId instance;
    private final long incarnation;
    private final BudgetOptions options;
    private final Function<TeamId, Optional<TeamBudget>> budgets;
    private final Clock clock;
    private final Runnable requestEarlyReport;
    private volatile IntConsumer borrowerCountListener = borrowers -> {};
    private final List<Map<String, TeamLoans>> shards = new ArrayList<>();
    private final Object reportLock = new Object();
    private @Nullable LendingPeriod period;
    private @Nullable OpenReport openReport;
    private long lastSequence;

    private BudgetBorrower(
            InstanceId instance,
            long incarnation,
            BudgetOptions options,
            Function<TeamId, Optional<TeamBudget>> budgets,
            Clock clock,
            Runnable requestEarlyReport) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.options = options;
        this.budgets = budgets;
        this.clock = clock;
        this.requestEarlyReport = requestEarlyReport;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new HashMap<>());
        }
    }

    /**
     * Returns a borrower without loans.
     *
     * @param instance the borrowing instance
     * @param incarnation random number that identifies this run of the process
     * @param options times and limits of the lending protocol
     * @param budgets returns the budget of a team, or empty if the configuration does not have the team
     * @param clock clock of this process
     * @param requestEarlyReport called when a queued request lacks tokens, to send a report before the next regular one
     */
    public static BudgetBorrower create(
            InstanceId instance,
            long incarnation,
            BudgetOptions options,
            Function<TeamId, Optional<TeamBudget>> budgets,
            Clock clock,
            Runnable requestEarlyReport) {
        return new BudgetBorrower(instance, incarnation, options, budgets, clock, requestEarlyReport);
    }

    /**
     * Charges the tokens to the team, immediately or when a loan arrives within {@code waitMs} milliseconds.
     *
     * <p>The future fails with {@code RATE_LIMITED}, "not run": immediately if the tokens exceed the team's burst,
     * otherwise when the time has elapsed. Cancelling the future removes the request from the queue.
     */
    public CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs) {
        checkArgument(tokens > 0, "tokens must be positive, but was %s", tokens);
        Optional<TeamBudget> budget = budgets.apply(team);
        if (budget.isEmpty() || budget.get().burstTokens() < tokens) {
            return CompletableFuture.failedFuture(CoordinationException.notRun(
                    ErrorCode.RATE_LIMITED,
                    "The request costs " + tokens + " tokens, which exceeds the burst of team " + team));
        }
        long nowNanos = clock.nanoTime();
        CompletableFuture<Reservation> reservation = new CompletableFuture<>();
        CoordinationException timedOut = CoordinationException.notRun(
                ErrorCode.RATE_LIMITED,
                "Team " + team + " had no budget for " + tokens + " tokens within " + waitMs + " ms");
        List<Runnable> completions = new ArrayList<>();
        Map<String, TeamLoans> shard = shardOf(team.value());
        boolean needsEarlyReport;
        synchronized (shard) {
            TeamLoans loans =
                    shard.computeIfAbsent(team.value(), id -> new TeamLoans(options.advanceDivisor(), nowNanos));
            TeamLoans.QueuedRequest request = new TeamLoans.QueuedRequest(
                    tokens,
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMs),
                    loans.nextOrder(),
                    reservation::isDone,
                    admissionNanos -> admit(reservation, new Charge(team, tokens, admissionNanos)),
                    () -> reservation.completeExceptionally(timedOut));
            loans.add(request, budget.get().burstTokens(), nowNanos, completions);
            needsEarlyReport = loans.needsEarlyReport();
        }
        completions.forEach(Runnable::run);
        if (needsEarlyReport) {
            requestEarlyReport.run();
        }
        return reservation;
    }

    private static void admit(CompletableFuture<Reservation> reservation, Charge charge) {
        if (!reservation.complete(charge)) {
            // The future was cancelled concurrently.
            charge.settle(0);
        }
    }

    /** Rejects the queued requests whose deadline has passed; to be called every few tens of milliseconds. */
    public void expireWaiting() {
        serveAll(clock.nanoTime());
    }

    private boolean serveAll(long nowNanos) {
        List<Runnable> completions = new ArrayList<>();
        boolean needsEarlyReport = false;
        for (Map<String, TeamLoans> shard : shards) {
            synchronized (shard) {
                for (Map.Entry<String, TeamLoans> entry : shard.entrySet()) {
                    long burstTokens = budgets.apply(TeamId.of(entry.getKey()))
                            .map(TeamBudget::burstTokens)
                            .orElse(0L);
                    entry.getValue().serve(burstTokens, nowNanos, completions);
                    needsEarlyReport |= entry.getValue().needsEarlyReport();
                }
            }
        }
        completions.forEach(Runnable::run);
        return needsEarlyReport;
    }

    /** Returns the report to send: the open one for a retry, or a new one. */
    public Borrow nextReport() {
        synchronized (reportLock) {
            long nowNanos = clock.nanoTime();
            if (openReport == null) {
                openReport = startReport(nowNanos);
            } else if (!openReport.mayHaveArrived) {
                openReport.firstSentNanos = nowNanos;
            }
            openReport.mayHaveArrived = true;
            Borrow.Builder report = Borrow.newBuilder()
                    .setInstance(instance.value())
                    .setIncarnation(incarnation)
                    .setSequence(openReport.sequence);
            if (period != null) {
                report.setTerm(period.term()).setLease(period.leaseStartNanos());
            }
            for (String team : openReport.teams) {
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

    /** Notes that the lender has certainly not applied the last sent report. */
    public void onNotApplied(long sequence) {
        synchronized (reportLock) {
            if (openReport != null && openReport.sequence == sequence && !openReport.hasUnknownOutcome) {
                openReport.mayHaveArrived = false;
            }
        }
    }

    /** Notes that the lender may or may not have applied the last sent report. */
    public void onNoResponse(long sequence) {
        synchronized (reportLock) {
            if (openReport != null && openReport.sequence == sequence) {
                openReport.hasUnknownOutcome = true;
            }
        }
    }

    /** Sets the listener that receives the number of borrowers from each response of the lender. */
    public void onAnswer(IntConsumer listener) {
        borrowerCountListener = listener;
    }

    /** Applies the lender's response and returns whether queued requests need another report. */
    public boolean onLoan(Loan loan) {
        borrowerCountListener.accept(loan.getBorrowers());
        synchronized (reportLock) {
            LendingPeriod loanPeriod = new LendingPeriod(loan.getTerm(), loan.getLease());
            boolean isForOpenReport = openReport != null && openReport.sequence == loan.getSequence();
            if (!isForOpenReport || (period != null && loanPeriod.isOlderThan(period))) {
                return false;
            }
            boolean isNewPeriod = !loanPeriod.equals(period);
            // The lender counts the validity from a later time; a shorter validity is always safe.
            long validUntilNanos = openReport.firstSentNanos + TimeUnit.MILLISECONDS.toNanos(options.validMs());
            applyLoan(loan, isNewPeriod, validUntilNanos);
            period = loanPeriod;
            openReport = null;
        }
        return serveAll(clock.nanoTime());
    }

    private void applyLoan(Loan loan, boolean isNewPeriod, long validUntilNanos) {
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

    /** The report whose response is pending; guarded by the report lock. */
    private static final class OpenReport {

        private final long sequence;
        private final Set<String> teams;
        private long firstSentNanos;
        private boolean mayHaveArrived;
        private boolean hasUnknownOutcome;

        OpenReport(long sequence, Set<String> teams, long firstSentNanos) {
            this.sequence = sequence;
            this.teams = teams;
            this.firstSentNanos = firstSentNanos;
        }
    }

    /** A charge against a loan; only the first call of {@link #settle} has an effect. */
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
                        .addRefund(tokens - Math.max(0, actualTokens), admissionNanos);
            }
        }
    }
}
