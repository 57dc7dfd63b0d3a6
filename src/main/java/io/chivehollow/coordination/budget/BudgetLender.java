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
 * Lends the budgets of all teams; used by the replica that holds the leader lease.
 *
 * <p>Invariants: the charges of a team, timestamped at admission, stay within its burst and rate in every window,
 * across changes of the leader; a report takes effect at most once. Thread-safe: buckets are in shards by team, each
 * under its own lock, and each borrower's reports are taken one at a time.
 */
public final class BudgetLender {

    private static final int SHARDS = 16;

    /** Time after which a silent borrower is forgotten; its loans have long been counted as spent by then. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final BudgetOptions options;
    private final RefundRule refundRule;
    private final List<Map<String, Bucket>> shards = new ArrayList<>();
    private final Map<BorrowerId, Borrower> borrowers = new ConcurrentHashMap<>();
    private volatile Inherited inherited = new Inherited(null, Map.of());
    private volatile @Nullable LendingPeriod stopped;

    BudgetLender(BudgetOptions options, RefundRule refundRule) {
        this.options = options;
        this.refundRule = refundRule;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new HashMap<>());
        }
    }

    /** Returns a lender that has lent nothing. */
    public static BudgetLender create(BudgetOptions options) {
        return new BudgetLender(options, RefundRule.limited());
    }

    /** Returns the budget of a released team. */
    public TeamBudget budgetOf(Team team) {
        return options.budgetOf(team);
    }

    /** Starts a period with the last checkpoints of earlier leaders; a team without one has a full budget. */
    public void start(LendingPeriod period, List<BudgetCheckpoint> checkpoints) {
        Map<String, BudgetCheckpoint> byTeam = new HashMap<>();
        checkpoints.forEach(checkpoint -> byTeam.put(checkpoint.budget().getTeam(), checkpoint));
        inherited = new Inherited(period, byTeam);
    }

    /** Ends lending in the period and returns the budgets for the next leader. */
    public List<SavedBudget> stop(Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        stopped = period;
        List<SavedBudget> result = new ArrayList<>();
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> result.add(bucket.save(team)));
        return result;
    }

    /**
     * Takes a report and lends, or returns nothing if the lending period is over.
     *
     * @param request the report
     * @param teams budgets of the teams, none for an unknown team
     * @param period the current lending period
     * @param nowNanos a time at which the caller held the lease, read before that was checked
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
            Loan last = borrower.lastAnswer;
            if (last != null && request.getSequence() <= last.getSequence()) {
                // A report that was sent again; an older one than the last has nobody waiting for its answer.
                return Optional.of(last);
            }
            Optional<Loan> loan = takeReport(id, borrower, request, teams, period, nowNanos);
            loan.ifPresent(answer -> borrower.answered(answer, nowNanos));
            return loan;
        }
    }

    private Optional<Loan> takeReport(
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
            Map<String, Bucket> shard = shardOf(item.getTeam());
            synchronized (shard) {
                Optional<TeamBudget> budget = teams.apply(TeamId.of(item.getTeam()));
                if (budget.isEmpty()) {
                    loan.addItems(LoanItem.newBuilder().setTeam(item.getTeam()));
                    continue;
                }
                Bucket bucket = bucket(shard, item.getTeam(), budget.get(), period, nowNanos);
                // Checked under the shard's lock, so that nothing is lent after the shard was saved.
                if (bucket == null || !bucket.period().equals(period) || period.equals(stopped)) {
                    return Optional.empty();
                }
                bucket.advance(nowNanos, budget.get());
                boolean isRenewed = isOfPeriod && bucket.report(id, item.getSpentTokens(), item.getHeldTokens());
                if (isOfPeriod) {
                    bucket.returnEarlier(item.getReturnedTokens());
                    refund(bucket, borrower, item, nowNanos);
                }
                Bucket.Lent lent = bucket.lend(id, item.getWantedTokens(), item.getNeededTokens());
                loan.addItems(LoanItem.newBuilder()
                        .setTeam(item.getTeam())
                        .setLentTokens(lent.tokens())
                        .setValidMs((int) options.validMs())
                        .setRenewed(isRenewed)
                        .setRecall(lent.isRecalled()));
            }
        }
        return Optional.of(loan.build());
    }

    private @Nullable Bucket bucket(
            Map<String, Bucket> shard, String team, TeamBudget budget, LendingPeriod period, long nowNanos) {
        Bucket bucket = shard.get(team);
        if (bucket != null && !bucket.period().isOlderThan(period)) {
            return bucket;
        }
        Inherited source = inherited;
        if (!period.equals(source.period)) {
            return null;
        }
        BudgetCheckpoint checkpoint = source.byTeam.get(team);
        Bucket created = checkpoint == null
                ? Bucket.full(options, refundRule, period, budget, nowNanos)
                : Bucket.ofCheckpoint(options, refundRule, period, budget, checkpoint);
        shard.put(team, created);
        return created;
    }

    private void refund(Bucket bucket, Borrower borrower, BorrowItem item, long nowNanos) {
        if (borrower.lastAnswer == null) {
            // Without an earlier answer nothing bounds how long this report was on its way.
            return;
        }
        long marginNanos = TimeUnit.MILLISECONDS.toNanos(options.refundMarginMs());
        // The report was sent after the last answer, however long it took to arrive.
        long sentNanos = Math.min(nowNanos - marginNanos, borrower.answeredNanos);
        for (Refund refund : item.getRefundsList()) {
            long ageMs = Integer.toUnsignedLong(refund.getAgeMs());
            // 10% more for the drift between the borrower's clock and this one.
            bucket.refund(refund.getTokens(), sentNanos - TimeUnit.MILLISECONDS.toNanos(ageMs + ageMs / 10 + 1));
        }
    }

    /** Returns whether a loan has to wait for a checkpoint; the next one then makes room for it. */
    public boolean needsCheckpoint(
            Borrow request, Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        boolean isNeeded = false;
        for (BorrowItem item : request.getItemsList()) {
            Optional<TeamBudget> budget = teams.apply(TeamId.of(item.getTeam()));
            if (item.getWantedTokens() == 0 || budget.isEmpty()) {
                continue;
            }
            Map<String, Bucket> shard = shardOf(item.getTeam());
            synchronized (shard) {
                Bucket bucket = bucket(shard, item.getTeam(), budget.get(), period, nowNanos);
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
     * Returns the budgets of which a checkpoint is to be committed, perhaps none.
     *
     * <p>At most one checkpoint may be open at a time, so that the log has them in the order in which they were made.
     */
    public List<SavedBudget> startCheckpoint(
            Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        List<SavedBudget> result = new ArrayList<>();
        if (period.equals(stopped)) {
            return result;
        }
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> {
            Optional<SavedBudget> saved = bucket.startCheckpoint(team);
            saved.ifPresent(result::add);
        });
        return result;
    }

    /** Takes the outcome of a checkpoint; one that is not known to be committed allows no further loans. */
    public void endCheckpoint(LendingPeriod period, List<SavedBudget> budgets, boolean isCommitted) {
        for (SavedBudget budget : budgets) {
            Map<String, Bucket> shard = shardOf(budget.getTeam());
            synchronized (shard) {
                Bucket bucket = shard.get(budget.getTeam());
                if (bucket != null && bucket.period().equals(period)) {
                    bucket.endCheckpoint(isCommitted);
                }
            }
        }
    }

    /** Returns the use of all teams that have borrowed in the period. */
    public List<TeamUse> use(Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos) {
        List<TeamUse> result = new ArrayList<>();
        forEachBucket(teams, period, nowNanos, (team, budget, bucket) -> result.add(use(team, budget, bucket)));
        return result;
    }

    private void forEachBucket(
            Function<TeamId, Optional<TeamBudget>> teams, LendingPeriod period, long nowNanos, Visitor visitor) {
        for (Map<String, Bucket> shard : shards) {
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

    private static TeamUse use(String team, TeamBudget budget, Bucket bucket) {
        return TeamUse.newBuilder()
                .setTeam(team)
                .setRateTokensPerSecond(budget.rateTokensPerSecond())
                .setBurstTokens(budget.burstTokens())
                .setAvailableTokens(bucket.available())
                .setOutstandingTokens(bucket.outstanding())
                .setWaiting(bucket.waiting())
                .build();
    }

    /** Forgets borrowers that have been silent for a minute; to be called every few seconds. */
    public void removeSilentBorrowers(long nowNanos) {
        borrowers.values().removeIf(borrower -> {
            synchronized (borrower) {
                return borrower.lastAnswer != null && nowNanos - borrower.answeredNanos > FORGET_NANOS;
            }
        });
    }

    private Map<String, Bucket> shardOf(String team) {
        return shards.get(Math.floorMod(team.hashCode(), SHARDS));
    }

    /** Sees a bucket under the lock of its shard. */
    private interface Visitor {
        void visit(String team, TeamBudget budget, Bucket bucket);
    }

    /** The last checkpoints of earlier leaders, for one period. */
    private record Inherited(@Nullable LendingPeriod period, Map<String, BudgetCheckpoint> byTeam) {}

    /** What is known about a borrower; guarded by its own lock. */
    private static final class Borrower {

        private @Nullable LendingPeriod period;
        private @Nullable Loan lastAnswer;
        private long answeredNanos;

        void startPeriod(LendingPeriod newPeriod) {
            period = newPeriod;
            lastAnswer = null;
        }

        void answered(Loan answer, long nowNanos) {
            lastAnswer = answer;
            answeredNanos = nowNanos;
        }
    }
}
