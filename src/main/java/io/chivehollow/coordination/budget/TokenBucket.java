package io.chivehollow.coordination.budget;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.chivehollow.protocol.wire.SavedBudget;
import org.jspecify.annotations.Nullable;

/**
 * The token bucket of one team during one lending period.
 *
 * <p>{@code level} is the number of tokens that do not count as spent, including those that are lent. Lent tokens count
 * as spent when a report says so or when the loan expires. {@code outstanding} is the number of lent tokens in
 * {@code level}. Not thread-safe.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>{@code outstanding} is the sum of the accounts.
 *   <li>The refill stops when {@code level} reaches the burst.
 *   <li>Level and refill of any window of the budget do not exceed what the budget grants in a window.
 *   <li>No loan makes {@code outstanding} exceed {@code level}.
 *   <li>Loans since a checkpoint stay within the allowance, which the checkpoint counts as lent.
 * </ul>
 */
final class TokenBucket {

    /** Time after which a shortfall that was not reported again is removed; three report intervals of 500 ms. */
    private static final long SHORTFALL_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * A checkpoint is due when the tokens that the last one leaves to the next leader differ by more than
     * burst / DRIFT_DIVISOR from those that a new one would leave.
     */
    private static final int DRIFT_DIVISOR = 16;

    /** A shortfall of at most burst / SMALL_SHORTFALL_DIVISOR, which hardly delays larger ones, is covered first. */
    private static final int SMALL_SHORTFALL_DIVISOR = 64;

    /** Account of all loans that earlier leaders granted. */
    private static final BorrowerId EARLIER_LEADERS = new BorrowerId("", 0);

    private final BudgetOptions options;
    private final RefundRule refundRule;
    private final LendingPeriod period;
    private final Map<BorrowerId, Account> accounts = new HashMap<>();
    private final Map<BorrowerId, Shortfall> shortfalls = new LinkedHashMap<>();
    private TeamBudget budget;
    private LevelHistory history;
    private long level;
    private long outstanding;
    private long nowNanos;
    private long refilledNanos;

    /** Lower bound of the expiry times of the accounts; may be too early, because renewals do not move it. */
    private long nextExpiryNanos;

    /** Tokens that may be lent before another checkpoint must be committed. */
    private long allowance;

    /** Tokens denied since the last checkpoint only because the allowance was too small. */
    private long deniedTokens;

    private long lentSinceCheckpoint;

    /** The checkpoint that is being committed, or null if there is none. */
    private @Nullable PendingCheckpoint pendingCheckpoint;

    /** Tokens that the next leader could lend according to the last checkpoint. */
    private long savedAvailable;

    private boolean isSavedAsFull;
    private long lastAllowance;

    private TokenBucket(
            BudgetOptions options, RefundRule refundRule, LendingPeriod period, TeamBudget budget, long startNanos) {
        this.options = options;
        this.refundRule = refundRule;
        this.period = period;
        this.budget = budget;
        this.level = budget.burstTokens();
        this.nowNanos = startNanos;
        this.refilledNanos = startNanos;
        this.history = new LevelHistory(startNanos, level);
    }

    /** Returns a full bucket without loans, for a team without a checkpoint. */
    static TokenBucket full(
            BudgetOptions options, RefundRule refundRule, LendingPeriod period, TeamBudget budget, long nowNanos) {
        TokenBucket bucket = new TokenBucket(options, refundRule, period, budget, nowNanos);
        bucket.savedAvailable = bucket.level;
        bucket.isSavedAsFull = true;
        return bucket;
    }

    /**
     * Returns the bucket that the last checkpoint of earlier leaders describes.
     *
     * <p>The refill starts at the time at which this replica applied the checkpoint, so that it includes the time
     * without a leader.
     */
    static TokenBucket ofCheckpoint(
            BudgetOptions options,
            RefundRule refundRule,
            LendingPeriod period,
            TeamBudget budget,
            BudgetCheckpoint checkpoint) {
        TokenBucket bucket = new TokenBucket(options, refundRule, period, budget, checkpoint.seenNanos());
        SavedBudget saved = checkpoint.budget();
        // If the burst was lowered, at most the outstanding loans may exceed it, as in changeBudget.
        long level = Math.min(saved.getLevelTokens(), budget.burstTokens());
        bucket.level = Math.max(saved.getOutstandingTokens(), level);
        bucket.savedAvailable = bucket.level - saved.getOutstandingTokens();
        bucket.addEarlierLoans(saved.getOutstandingTokens());
        bucket.refill(period.leaseStartNanos());
        // The charges of admissions before this period are not recorded here, so they get no refunds.
        bucket.history = new LevelHistory(bucket.nowNanos, bucket.level);
        return bucket;
    }

    private void addEarlierLoans(long tokens) {
        outstanding = tokens;
        Account earlier = new Account();
        earlier.tokens = tokens;
        earlier.expiryNanos = period.leaseStartNanos() + TimeUnit.MILLISECONDS.toNanos(options.inheritedLoanExpiryMs());
        accounts.put(EARLIER_LEADERS, earlier);
        nextExpiryNanos = earlier.expiryNanos;
    }

    LendingPeriod period() {
        return period;
    }

    /** Advances the bucket to the given time and budget; a time before the last one has no effect. */
    void advance(long toNanos, TeamBudget newBudget) {
        while (!accounts.isEmpty() && nextExpiryNanos - toNanos <= 0) {
            Map.Entry<BorrowerId, Account> next = firstToExpire();
            nextExpiryNanos = next.getValue().expiryNanos;
            if (nextExpiryNanos - toNanos > 0) {
                break;
            }
            refill(next.getValue().expiryNanos);
            accounts.remove(next.getKey());
            level -= next.getValue().tokens;
            outstanding -= next.getValue().tokens;
        }
        refill(toNanos);
        shortfalls.values().removeIf(shortfall -> nowNanos - shortfall.reportedNanos > SHORTFALL_EXPIRY_NANOS);
        if (!newBudget.equals(budget)) {
            changeBudget(newBudget);
        }
    }

    private void changeBudget(TeamBudget newBudget) {
        budget = newBudget;
        // Loans that were granted under a larger burst stay valid until they are spent, returned, or expired.
        level = Math.max(outstanding, Math.min(level, budget.burstTokens()));
        // Earlier levels do not show how much room the bucket would have had under the new burst. Admissions before
        // the change therefore get no refunds.
        history = new LevelHistory(nowNanos, level);
        refilledNanos = nowNanos;
    }

    private Map.Entry<BorrowerId, Account> firstToExpire() {
        return Collections.min(
                accounts.entrySet(), (a, b) -> Long.signum(a.getValue().expiryNanos - b.getValue().expiryNanos));
    }

    private void refill(long toNanos) {
        if (toNanos - nowNanos < 0) {
            return;
        }
        nowNanos = toNanos;
        long burst = budget.burstTokens();
        long elapsedNanos = nowNanos - refilledNanos;
        long highest = highestLevelInWindow();
        long expected = gainedTokens(elapsedNanos, budget.refillTokensPerSecond(highest));
        // The refill itself raises the level in the window.
        long rate = budget.refillTokensPerSecond(Math.max(highest, level + expected));
        long gained = gainedTokens(elapsedNanos, rate);
        if (level + gained >= burst) {
            level = Math.max(level, burst);
            refilledNanos = nowNanos;
        } else {
            level += gained;
            // Advances by the time that the whole tokens took, rounded up, so that no token is added twice.
            refilledNanos += gained / rate * SECOND_NANOS + (gained % rate * SECOND_NANOS + rate - 1) / rate;
        }
        history.record(nowNanos, level);
    }

    private static long gainedTokens(long elapsedNanos, long rate) {
        return elapsedNanos / SECOND_NANOS * rate + elapsedNanos % SECOND_NANOS * rate / SECOND_NANOS;
    }

    /** Returns the highest level in the budget's window; a bucket counts as full at times that are not recorded. */
    private long highestLevelInWindow() {
        long startNanos = refilledNanos - (long) (budget.windowSeconds() * SECOND_NANOS);
        return history.covers(startNanos) ? history.highestSince(startNanos) : budget.burstTokens();
    }

    /** Applies a report about the borrower's loans of this period; returns false if the loans have expired. */
    boolean applyReport(BorrowerId borrower, long spentTokens, long unspentTokens) {
        Account account = accounts.get(borrower);
        if (account == null) {
            return spentTokens == 0 && unspentTokens == 0;
        }
        long spent = Math.min(spentTokens, account.tokens);
        long unspent = Math.min(unspentTokens, account.tokens - spent);
        level -= spent;
        outstanding -= account.tokens - unspent;
        account.tokens = unspent;
        account.expiryNanos = expiryNanos();
        return true;
    }

    /** Returns unspent loans of earlier leaders to the bucket, unless they have expired. */
    void returnEarlierLoans(long tokens) {
        Account earlier = accounts.get(EARLIER_LEADERS);
        if (earlier == null || tokens <= 0) {
            return;
        }
        long returned = Math.min(tokens, earlier.tokens);
        earlier.tokens -= returned;
        outstanding -= returned;
    }

    /** Credits the unused part of an admission, limited to what the bucket had room for since then. */
    void refund(long tokens, long admissionNanos) {
        if (!history.covers(admissionNanos)) {
            return;
        }
        long credit = refundRule.credit(tokens, budget.burstTokens(), history.highestSince(admissionNanos));
        level += credit;
        history.addSince(admissionNanos, credit);
    }

    /**
     * Lends to the borrower; a shortfall is covered completely or not at all.
     *
     * <p>Small shortfalls are covered first, otherwise the order is that of arrival. Without this exception, a call to
     * an ordinary service would be refused because prompts that cost forty times as much have emptied the bucket.
     *
     * @param wantedTokens tokens that the borrower requests, including those for future requests
     * @param neededTokens the borrower's shortfall, 0 if its first queued request lacks no tokens
     */
    LoanGrant lend(BorrowerId borrower, long wantedTokens, long neededTokens) {
        long available = level - outstanding;
        // A shortfall above the burst, which a release may have lowered, can never be covered. It must not block
        // the shortfalls of other borrowers.
        boolean isCoverable = neededTokens <= budget.burstTokens();
        if (neededTokens > 0 && isCoverable) {
            shortfalls.computeIfAbsent(borrower, id -> new Shortfall()).update(neededTokens, nowNanos);
        } else {
            shortfalls.remove(borrower);
        }
        long lent = 0;
        if (neededTokens > 0 && isCoverable && available >= shortfallUpTo(borrower)) {
            lent = takeAllowance(neededTokens, true);
            if (lent > 0) {
                shortfalls.remove(borrower);
            }
        }
        long free = available - lent - shortfallUpTo(null);
        if (free > 0 && !shortfalls.containsKey(borrower)) {
            // At most half of the free tokens, so that enough is left for borrowers that report a moment later.
            lent += takeAllowance(Math.max(0, Math.min(wantedTokens - lent, free / 2)), false);
        }
        if (lent > 0) {
            if (accounts.isEmpty()) {
                nextExpiryNanos = expiryNanos();
            }
            Account account = accounts.computeIfAbsent(borrower, id -> new Account());
            account.tokens += lent;
            account.expiryNanos = expiryNanos();
            outstanding += lent;
        }
        return new LoanGrant(lent, isRecalled(borrower));
    }

    /**
     * Takes the tokens from the allowance and records those that it lacked. If it lacks some, takes what is left, or
     * nothing if {@code isAllOrNothing}.
     */
    private long takeAllowance(long tokens, boolean isAllOrNothing) {
        long lendable = lendable();
        long taken = tokens <= lendable ? tokens : isAllOrNothing ? 0 : lendable;
        deniedTokens += tokens - taken;
        allowance -= taken;
        lentSinceCheckpoint += taken;
        return taken;
    }

    /** Returns the tokens that may be lent regardless of whether the pending checkpoint is committed. */
    private long lendable() {
        long lendableIfCommitted =
                pendingCheckpoint == null ? Long.MAX_VALUE : pendingCheckpoint.allowance() - lentSinceCheckpoint;
        return Math.max(0, Math.min(allowance, lendableIfCommitted));
    }

    /**
     * Returns whether a loan must wait for a checkpoint; if so, the next checkpoint includes an allowance for it.
     *
     * <p>A shortfall that exceeds the available tokens does not cause a checkpoint, because it could not be covered
     * after the checkpoint either.
     */
    boolean lacksAllowance(long wantedTokens, long neededTokens) {
        long advanceTokens = Math.min(wantedTokens, available() / 2);
        long tokens = neededTokens > available() ? advanceTokens : Math.max(neededTokens, advanceTokens);
        if (tokens <= lendable()) {
            return false;
        }
        deniedTokens += tokens;
        return true;
    }

    /**
     * Returns the budget to commit before more is lent, or empty if the last checkpoint suffices.
     *
     * <p>The checkpoint counts its allowance as lent. The allowance covers the denied tokens and as much as was lent
     * since the last checkpoint. A larger allowance would be lost to the team if the leader failed.
     */
    Optional<SavedBudget> startCheckpoint(String team) {
        long significantTokens = budget.burstTokens() / DRIFT_DIVISOR;
        long expectedLoans =
                Math.max(lentSinceCheckpoint, lastAllowance / 2 > significantTokens ? lastAllowance / 2 : 0);
        long nextAllowance = Math.min(available(), deniedTokens + expectedLoans);
        long drift = Math.abs(available() - nextAllowance - savedAvailable);
        boolean isFull = nextAllowance == 0 && outstanding == 0 && level >= budget.burstTokens();
        boolean isDue = deniedTokens > 0 || drift > significantTokens || isFull && !isSavedAsFull;
        if (!isDue) {
            return Optional.empty();
        }
        pendingCheckpoint = new PendingCheckpoint(nextAllowance, available() - nextAllowance, isFull);
        deniedTokens = 0;
        lentSinceCheckpoint = 0;
        return Optional.of(SavedBudget.newBuilder()
                .setTeam(team)
                .setLevelTokens(level)
                .setOutstandingTokens(outstanding + nextAllowance)
                .setFull(isFull)
                .build());
    }

    /** Ends the pending checkpoint; if its outcome is unknown, only loans that both checkpoints permit are granted. */
    void endCheckpoint(boolean isCommitted) {
        PendingCheckpoint ended = pendingCheckpoint;
        if (ended == null) {
            return;
        }
        if (isCommitted) {
            allowance = ended.allowance() - lentSinceCheckpoint;
            savedAvailable = ended.available();
            isSavedAsFull = ended.isFull();
            lastAllowance = ended.allowance();
        } else {
            allowance = lendable();
            isSavedAsFull = false;
        }
        pendingCheckpoint = null;
    }

    private boolean isSmall(Shortfall shortfall) {
        return shortfall.tokens <= budget.burstTokens() / SMALL_SHORTFALL_DIVISOR;
    }

    /** Returns the sum of the shortfalls that are covered up to and including the borrower's, or of all if null. */
    private long shortfallUpTo(@Nullable BorrowerId borrower) {
        Shortfall last = borrower == null ? null : shortfalls.get(borrower);
        boolean isOnlySmall = last != null && isSmall(last);
        long sum = 0;
        for (Map.Entry<BorrowerId, Shortfall> entry : shortfalls.entrySet()) {
            if (!isOnlySmall || isSmall(entry.getValue())) {
                sum += entry.getValue().tokens;
            }
            if (entry.getKey().equals(borrower)) {
                break;
            }
        }
        return sum;
    }

    /**
     * Returns whether another borrower's shortfall is the first and waits for tokens that this borrower may have.
     */
    private boolean isRecalled(BorrowerId borrower) {
        Iterator<Map.Entry<BorrowerId, Shortfall>> entries =
                shortfalls.entrySet().iterator();
        if (!entries.hasNext()) {
            return false;
        }
        Map.Entry<BorrowerId, Shortfall> firstEntry = entries.next();
        return !firstEntry.getKey().equals(borrower) && firstEntry.getValue().tokens > level - outstanding;
    }

    private long expiryNanos() {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(options.countAsSpentMs());
    }

    /** Returns the budget for the next leader, after this leader has stopped lending. */
    SavedBudget toSavedBudget(String team) {
        return SavedBudget.newBuilder()
                .setTeam(team)
                .setLevelTokens(level)
                .setOutstandingTokens(outstanding)
                .build();
    }

    long available() {
        return Math.max(0, level - outstanding);
    }

    long outstanding() {
        return outstanding;
    }

    int shortfallCount() {
        return shortfalls.size();
    }

    /**
     * A checkpoint that was proposed and is not known to be committed.
     *
     * @param allowance tokens that may be lent once it is committed
     * @param available tokens that the next leader could lend
     * @param isFull whether it records a full bucket without loans
     */
    private record PendingCheckpoint(long allowance, long available, boolean isFull) {}

    /** Outstanding loans of one borrower. */
    private static final class Account {
        private long tokens;
        private long expiryNanos;
    }

    /** Tokens that the first queued request of one borrower lacks. */
    private static final class Shortfall {
        private long tokens;
        private long reportedNanos;

        void update(long newTokens, long newReportedNanos) {
            tokens = newTokens;
            reportedNanos = newReportedNanos;
        }
    }

    /**
     * A loan granted to one borrower.
     *
     * @param tokens tokens lent in addition to the renewed ones
     * @param isRecalled whether the borrower should return its unspent tokens
     */
    record LoanGrant(long tokens, boolean isRecalled) {}
}
