package io.chivehollow.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.chivehollow.base.TeamId;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.BorrowItem;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.LoanItem;
import io.chivehollow.protocol.wire.Refund;
import io.chivehollow.protocol.wire.SavedBudget;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.protocol.wire.TeamUse;
import org.jspecify.annotations.Nullable;

/**
 * Lends the token budgets of all teams; used by the replica that holds the leader lease.
 *
 * <p>Invariants: the charges of a team, timestamped at admission, stay within its burst and rate in every time window,
 * also across changes of the leader; a report takes effect at most once.
 *
 * <p>Thread-safe: buckets are distributed over shards by team, each guarded by its own lock. The reports of one
 * borrower are processed one at a time.
 */
public final class BudgetLender {

    private static final int SHARDS = 16;

    /** Time after which an unresponsive borrower is removed; its loans have been counted as spent long before. */
    private static final long BORROWER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final BudgetOptions options;
    private final RefundRule refundRule;
    private final List<Map<String, TokenBucket>> shards = new ArrayList<>();
    private final Map<BorrowerId, Borrower> borrowers = new ConcurrentHashMap<>();
    private volatile InheritedCheckpoints inheritedCheckpoints = new InheritedCheckpoints(null, Map.of());
    private volatile @Nullable LendingPeriod stoppedPeriod;

    BudgetLender(BudgetOptions options, RefundRule refundRule) {
        this.options = options;
        this.refundRule = refundRule;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new HashMap<>());
        }
    }

    /** Returns a lender without outstanding loans. */
    public static BudgetLender create(BudgetOptions options) {
        return new BudgetLender(options, RefundRule.limited());
    }

    /** Returns the budget of a team of the released state. */
    public TeamBudget budgetOf(Team team) {
        return options.budgetOf(team);
    }

    /** Starts a lending period from the last checkpoints of earlier leaders; a team without one has a full budget. */
    public void start(LendingPeriod period, List<BudgetCheckpoint> checkpoints) {
        Map<String, BudgetCheckpoint> byTeam = new HashMap<>();
        checkpoints.forEach(checkpoint -> byTeam.put(checkpoint.budget().getTeam(), checkpoint));
        inheritedCheckpoints = new InheritedCheckpoints(period, byTeam);
    }

    /** Ends lending in the period and returns the budgets to save for the next leader. */
    public List<SavedBudget> stop(Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        stoppedPeriod = period;
        List<SavedBudget> result = new ArrayList<>();
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> result.add(bucket.toSavedBudget(team)));
        return result;
    }

    /**
     * Applies a report and lends tokens; returns empty if the lending period is over.
     *
     * @param request the report
     * @param teams returns the budget of a team, or empty if the configuration does not have the team
     * @param period the current lending period
     * @param nowNanos a time at which the caller held the lease, read before the caller checked the lease
     */
    public Optional<Loan> borrow(
            Borrow request, Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        BorrowerId id = new BorrowerId(request.getInstance(), request.getIncarnation());
        Borrower borrower = borrowers.computeIfAbsent(id, key -> new Borrower());
        synchronized (borrower) {
            if (borrower.period != null && period.isOlderThan(borrower.period)) {
                return Optional.empty();
            }
            if (!period.equals(borrower.period)) {
                borrower.startPeriod(period);
            }
            Loan last = borrower.lastLoan;
            if (last != null && request.getSequence() <= last.getSequence()) {
                // A retried report. If it is older than the last one, nobody waits for the response.
                return Optional.of(last);
            }
            Optional<Loan> loan = applyReport(id, borrower, request, teams, period, nowNanos);
            loan.ifPresent(response -> borrower.recordLoan(response, nowNanos));
            return loan;
        }
    }

    private Optional<Loan> applyReport(
            BorrowerId id,
            Borrower borrower,
            Borrow request,
            Function<TeamId, Optional<TeamBudget>> teams,
            LendingPeriod period,
            long nowNanos) {
        boolean isOfPeriod = request.getTerm() == period.term() && request.getLease() == period.leaseStartNanos();
        Loan.Builder loan = Loan.newBuilder()
                .setSequence(request.getSequence())
                .setTerm(period.term())
                .setLease(period.leaseStartNanos())
                .setBorrowers(borrowers.size());
        for (BorrowItem item : request.getItemsList()) {
            Map<String, TokenBucket> shard = shardOf(item.getTeam());
            synchronized (shard) {
                Optional<TeamBudget> budget = teams.apply(TeamId.of(item.getTeam()));
                if (budget.isEmpty()) {
                    loan.addItems(LoanItem.newBuilder().setTeam(item.getTeam()));
                    continue;
                }
                TokenBucket bucket = bucket(shard, item.getTeam(), budget.get(), period, nowNanos);
                // Checked under the shard's lock, so that nothing is lent after stop() has saved the shard.
                if (bucket == null || !bucket.period().equals(period) || period.equals(stoppedPeriod)) {
                    return Optional.empty();
                }
                bucket.advance(nowNanos, budget.get());
                boolean isRenewed = isOfPeriod && bucket.applyReport(id, item.getSpentTokens(), item.getHeldTokens());
                if (isOfPeriod) {
                    bucket.returnEarlierLoans(item.getReturnedTokens());
                    refund(bucket, borrower, item, nowNanos);
                }
                TokenBucket.LoanGrant grant = bucket.lend(id, item.getWantedTokens(), item.getNeededTokens());
                loan.addItems(LoanItem.newBuilder()
                        .setTeam(item.getTeam())
                        .setLentTokens(grant.tokens())
                        .setValidMs((int) options.validMs())
                        .setRenewed(isRenewed)
                        .setRecall(grant.isRecalled()));
            }
        }
        return Optional.of(loan.build());
    }

    private @Nullable TokenBucket bucket(
            Map<String, TokenBucket> shard, String team, TeamBudget budget, LendingPeriod period, long nowNanos) {
        TokenBucket bucket = shard.get(team);
        if (bucket != null && !bucket.period().isOlderThan(period)) {
            return bucket;
        }
        InheritedCheckpoints source = inheritedCheckpoints;
        if (!period.equals(source.period)) {
            return null;
        }
        BudgetCheckpoint checkpoint = source.byTeam.get(team);
        TokenBucket created = checkpoint == null
                ? TokenBucket.full(options, refundRule, period, budget, nowNanos)
                : TokenBucket.ofCheckpoint(options, refundRule, period, budget, checkpoint);
        shard.put(team, created);
        return created;
    }

    private void refund(TokenBucket bucket, Borrower borrower, BorrowItem item, long nowNanos) {
        if (borrower.lastLoan == null) {
            // Without an earlier response there is no bound on the transit time of this report.
            return;
        }
        long marginNanos = TimeUnit.MILLISECONDS.toNanos(options.refundMarginMs());
        // The borrower sent this report after the last response, however long the report took to arrive.
        long sentNanos = Math.min(nowNanos - marginNanos, borrower.lastLoanNanos);
        for (Refund refund : item.getRefundsList()) {
            long ageMs = Integer.toUnsignedLong(refund.getAgeMs());
            // Adds 10% for the drift between the borrower's clock and this one.
            bucket.refund(refund.getTokens(), sentNanos - TimeUnit.MILLISECONDS.toNanos(ageMs + ageMs / 10 + 1));
        }
    }

    /** Returns whether a loan must wait for a checkpoint; if so, the next checkpoint includes an allowance for it. */
    public boolean needsCheckpoint(
            Borrow request, Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        boolean isNeeded = false;
        for (BorrowItem item : request.getItemsList()) {
            Optional<TeamBudget> budget = teams.apply(TeamId.of(item.getTeam()));
            if (item.getWantedTokens() == 0 || budget.isEmpty()) {
                continue;
            }
            Map<String, TokenBucket> shard = shardOf(item.getTeam());
            synchronized (shard) {
                TokenBucket bucket = bucket(shard, item.getTeam(), budget.get(), period, nowNanos);
                if (bucket != null && bucket.period().equals(period)) {
                    bucket.advance(nowNanos, budget.get());
                    boolean isLacking = bucket.lacksAllowance(item.getWantedTokens(), item.getNeededTokens());
                    isNeeded = isNeeded || isLacking;
                }
            }
        }
        return isNeeded;
    }

    /**
     * Starts a checkpoint and returns the budgets to commit; the list is empty if no budget needs a checkpoint.
     *
     * <p>At most one checkpoint may be open at a time, so that the log contains them in the order of their creation.
     */
    public List<SavedBudget> startCheckpoint(
            Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        List<SavedBudget> result = new ArrayList<>();
        if (period.equals(stoppedPeriod)) {
            return result;
        }
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> {
            Optional<SavedBudget> saved = bucket.startCheckpoint(team);
            saved.ifPresent(result::add);
        });
        return result;
    }

    /** Applies the outcome of a checkpoint; one that is not known to be committed does not permit more loans. */
    public void endCheckpoint(LendingPeriod period, List<SavedBudget> budgets, boolean isCommitted) {
        for (SavedBudget budget : budgets) {
            Map<String, TokenBucket> shard = shardOf(budget.getTeam());
            synchronized (shard) {
                TokenBucket bucket = shard.get(budget.getTeam());
                if (bucket != null && bucket.period().equals(period)) {
                    bucket.endCheckpoint(isCommitted);
                }
            }
        }
    }

    /** Returns the usage of all teams that have borrowed in the period. */
    public List<TeamUse> usage(Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        List<TeamUse> result = new ArrayList<>();
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> result.add(usage(team, budget, bucket)));
        return result;
    }

    private void forEachBucket(
            Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos, BucketVisitor visitor) {
        for (Map<String, TokenBucket> shard : shards) {
            synchronized (shard) {
                shard.forEach((team, bucket) -> {
                    Optional<TeamBudget> budget = teams.apply(TeamId.of(team));
                    if (budget.isPresent() && bucket.period().equals(period)) {
                        bucket.advance(nowNanos, budget.get());
                        visitor.visit(team, budget.get(), bucket);
                    }
                });
            }
        }
    }

    private static TeamUse usage(String team, TeamBudget budget, TokenBucket bucket) {
        return TeamUse.newBuilder()
                .setTeam(team)
                .setRateTokensPerSecond(budget.rateTokensPerSecond())
                .setBurstTokens(budget.burstTokens())
                .setAvailableTokens(bucket.available())
                .setOutstandingTokens(bucket.outstanding())
                .setWaiting(bucket.shortfallCount())
                .build();
    }

    /** Removes borrowers that have been unresponsive for 60 s; to be called every few seconds. */
    public void removeUnresponsiveBorrowers(long nowNanos) {
        borrowers.values().removeIf(borrower -> {
            synchronized (borrower) {
                return borrower.lastLoan != null && nowNanos - borrower.lastLoanNanos > BORROWER_EXPIRY_NANOS;
            }
        });
    }

    private Map<String, TokenBucket> shardOf(String team) {
        return shards.get(Math.floorMod(team.hashCode(), SHARDS));
    }

    /** Visits a bucket under the lock of its shard. */
    private interface BucketVisitor {
        void visit(String team, TeamBudget budget, TokenBucket bucket);
    }

    /** The last checkpoints of earlier leaders, from which one period starts. */
    private record InheritedCheckpoints(@Nullable LendingPeriod period, Map<String, BudgetCheckpoint> byTeam) {}

    /** The last response to a borrower; guarded by its own lock. */
    private static final class Borrower {

        private @Nullable LendingPeriod period;
        private @Nullable Loan lastLoan;
        private long lastLoanNanos;

        void startPeriod(LendingPeriod newPeriod) {
            period = newPeriod;
            lastLoan = null;
        }

        void recordLoan(Loan loan, long nowNanos) {
            lastLoan = loan;
            lastLoanNanos = nowNanos;
        }
    }
}
