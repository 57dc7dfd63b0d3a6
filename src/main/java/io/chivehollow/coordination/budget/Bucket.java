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
 * <p>{@code level} counts the tokens that are not known to be spent, lent or not; {@code outstanding} counts the lent
 * ones. Invariants: outstanding is the sum of the accounts; refill stops at level = burst; no loan makes outstanding
 * exceed level; loans since a checkpoint stay within the allowance that the checkpoint counts as lent. Not thread-safe.
 */
final class Bucket {

    /** Time after which a need that was not reported again is forgotten; three report intervals. */
    private static final long NEED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A checkpoint is written when it would understate what is available by more than this part of the burst. */
    private static final int DRIFT_DIVISOR = 16;

    /** A need of at most this part of the burst does not wait behind larger ones, which it hardly delays. */
    private static final int SMALL_NEED_DIVISOR = 64;

    /** Stands for everything that earlier leaders have lent. */
    private static final BorrowerId EARLIER_LEADERS = new BorrowerId("", 0);

    private final BudgetOptions options;
    private final RefundRule refundRule;
    private final LendingPeriod period;
    private final Map<BorrowerId, Account> accounts = new HashMap<>();
    private final Map<BorrowerId, Need> needs = new LinkedHashMap<>();
    private TeamBudget budget;
    private LevelHistory history;
    private long level;
    private long outstanding;
    private long nowNanos;
    private long refilledNanos;

    /** No account expires before this time; may be too early, because renewals do not move it. */
    private long nextExpiryNanos;

    /** Tokens that may be lent before a further checkpoint is committed. */
    private long allowance;

    /** Tokens that were not lent only because the allowance was too small, since the last checkpoint. */
    private long missed;

    private long lentSinceCheckpoint;

    /** The checkpoint that is being committed. */
    private @Nullable Checkpoint open;

    /** Tokens that the last checkpoint leaves to the next leader. */
    private long savedAvailable;

    private boolean isSavedAsFull;
    private long lastAllowance;

    private Bucket(
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

    /** Returns the bucket of a team of which nothing is lent, because no checkpoint has it. */
    static Bucket full(
            BudgetOptions options, RefundRule refundRule, LendingPeriod period, TeamBudget budget, long nowNanos) {
        Bucket bucket = new Bucket(options, refundRule, period, budget, nowNanos);
        bucket.savedAvailable = bucket.level;
        bucket.isSavedAsFull = true;
        return bucket;
    }

    /**
     * Returns the bucket of a team as the last checkpoint of earlier leaders has it.
     *
     * <p>It is refilled from the time at which this replica saw the checkpoint, so the time without a leader counts.
     */
    static Bucket ofCheckpoint(
            BudgetOptions options,
            RefundRule refundRule,
            LendingPeriod period,
            TeamBudget budget,
            BudgetCheckpoint checkpoint) {
        Bucket bucket = new Bucket(options, refundRule, period, budget, checkpoint.seenNanos());
        SavedBudget saved = checkpoint.budget();
        // A lower burst leaves no more than what is outstanding, as when the budget changes later.
        long level = Math.min(saved.getLevelTokens(), budget.burstTokens());
        bucket.level = Math.max(saved.getOutstandingTokens(), level);
        bucket.savedAvailable = bucket.level - saved.getOutstandingTokens();
        bucket.addEarlierLoans(saved.getOutstandingTokens());
        bucket.refill(period.leaseStartNanos());
        // Nothing is refunded for admissions before the period; their charges are unknown here.
        bucket.history = new LevelHistory(bucket.nowNanos, bucket.level);
        return bucket;
    }

    private void addEarlierLoans(long tokens) {
        outstanding = tokens;
        Account earlier = new Account();
        earlier.tokens = tokens;
        earlier.expiryNanos = period.leaseStartNanos() + TimeUnit.MILLISECONDS.toNanos(options.newLeaderPauseMs());
        accounts.put(EARLIER_LEADERS, earlier);
        nextExpiryNanos = earlier.expiryNanos;
    }

    LendingPeriod period() {
        return period;
    }

    /** Moves the bucket to the given time and budget; an earlier time than the last one changes nothing. */
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
        needs.values().removeIf(need -> nowNanos - need.seenNanos > NEED_NANOS);
        if (!newBudget.equals(budget)) {
            changeBudget(newBudget);
        }
    }

    private void changeBudget(TeamBudget newBudget) {
        budget = newBudget;
        // Loans that were granted under a larger burst stay valid until they are spent, returned or expired.
        level = Math.max(outstanding, Math.min(level, budget.burstTokens()));
        // Earlier levels say nothing about what the bucket could have held under the new burst.
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
        long rate = budget.rateTokensPerSecond();
        long elapsedNanos = nowNanos - refilledNanos;
        long gained = elapsedNanos / SECOND_NANOS * rate + elapsedNanos % SECOND_NANOS * rate / SECOND_NANOS;
        if (level + gained >= burst) {
            level = Math.max(level, burst);
            refilledNanos = nowNanos;
        } else {
            level += gained;
            // Only the time of whole tokens is used up; rounded up, so that no token is gained twice.
            refilledNanos += gained / rate * SECOND_NANOS + (gained % rate * SECOND_NANOS + rate - 1) / rate;
        }
        history.record(nowNanos, level);
    }

    /** Takes a report about the borrower's loans of this period; returns false if they have expired. */
    boolean report(BorrowerId borrower, long spentTokens, long heldTokens) {
        Account account = accounts.get(borrower);
        if (account == null) {
            return spentTokens == 0 && heldTokens == 0;
        }
        long spent = Math.min(spentTokens, account.tokens);
        long held = Math.min(heldTokens, account.tokens - spent);
        level -= spent;
        outstanding -= account.tokens - held;
        account.tokens = held;
        account.expiryNanos = expiryNanos();
        return true;
    }

    /** Takes back unspent loans of earlier leaders, unless they have expired. */
    void returnEarlier(long tokens) {
        Account earlier = accounts.get(EARLIER_LEADERS);
        if (earlier == null || tokens <= 0) {
            return;
        }
        long returned = Math.min(tokens, earlier.tokens);
        earlier.tokens -= returned;
        outstanding -= returned;
    }

    /** Credits the unused part of an admission, as far as the bucket could have held it since then. */
    void refund(long tokens, long admissionNanos) {
        if (!history.covers(admissionNanos)) {
            return;
        }
        long credit = refundRule.credit(tokens, budget.burstTokens(), history.highestSince(admissionNanos));
        level += credit;
        history.addSince(admissionNanos, credit);
    }

    /**
     * Lends to the borrower; a need is met as a whole or not at all.
     *
     * <p>Needs are met in the order in which they arrived, small ones first: a call to an ordinary service must not be
     * refused because the bucket is empty after prompts that cost forty times as much.
     */
    Lent lend(BorrowerId borrower, long wantedTokens, long neededTokens) {
        long available = level - outstanding;
        // A need above the burst, which a release may have lowered, can never be met and must not hold up others.
        boolean canBeMet = neededTokens <= budget.burstTokens();
        if (neededTokens > 0 && canBeMet) {
            needs.computeIfAbsent(borrower, id -> new Need()).update(neededTokens, nowNanos);
        } else {
            needs.remove(borrower);
        }
        long lent = 0;
        if (neededTokens > 0 && canBeMet && available >= neededUpTo(borrower)) {
            lent = takeAllowance(neededTokens, true);
            if (lent > 0) {
                needs.remove(borrower);
            }
        }
        long free = available - lent - neededUpTo(null);
        if (free > 0 && !needs.containsKey(borrower)) {
            // Half of what is free, so that the first borrower does not take what the others ask for a moment later.
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
        return new Lent(lent, isRecalled(borrower));
    }

    /** Takes tokens from the allowance, all or what is left of it, and notes what it lacked. */
    private long takeAllowance(long tokens, boolean isWhole) {
        long lendable = lendable();
        long taken = tokens <= lendable ? tokens : isWhole ? 0 : lendable;
        missed += tokens - taken;
        allowance -= taken;
        lentSinceCheckpoint += taken;
        return taken;
    }

    /** Returns what may be lent whether the open checkpoint is committed or not. */
    private long lendable() {
        long ofOpen = open == null ? Long.MAX_VALUE : open.allowance() - lentSinceCheckpoint;
        return Math.max(0, Math.min(allowance, ofOpen));
    }

    /**
     * Returns whether a loan has to wait for a checkpoint, and if so lets the next one allow it.
     *
     * <p>A need that the bucket cannot meet at all is not worth a checkpoint.
     */
    boolean lacksAllowance(long wantedTokens, long neededTokens) {
        long inAdvance = Math.min(wantedTokens, available() / 2);
        long tokens = neededTokens > available() ? inAdvance : Math.max(neededTokens, inAdvance);
        if (tokens <= lendable()) {
            return false;
        }
        missed += tokens;
        return true;
    }

    /**
     * Returns what to write before more is lent, or nothing if the last checkpoint suffices.
     *
     * <p>The allowance is counted as lent. It has room for what was missed and for as much as was lent since the last
     * checkpoint; a larger one would be lost to the team with the leader.
     */
    Optional<SavedBudget> startCheckpoint(String team) {
        long smallest = budget.burstTokens() / DRIFT_DIVISOR;
        long usual = Math.max(lentSinceCheckpoint, lastAllowance / 2 > smallest ? lastAllowance / 2 : 0);
        long next = Math.min(available(), missed + usual);
        long drift = Math.abs(available() - next - savedAvailable);
        boolean isFull = next == 0 && outstanding == 0 && level >= budget.burstTokens();
        boolean isDue = missed > 0 || drift > smallest || isFull && !isSavedAsFull;
        if (!isDue) {
            return Optional.empty();
        }
        open = new Checkpoint(next, available() - next, isFull);
        missed = 0;
        lentSinceCheckpoint = 0;
        return Optional.of(SavedBudget.newBuilder()
                .setTeam(team)
                .setLevelTokens(level)
                .setOutstandingTokens(outstanding + next)
                .setFull(isFull)
                .build());
    }

    /** Ends the open checkpoint; without a known outcome only what both checkpoints allow may be lent. */
    void endCheckpoint(boolean isCommitted) {
        Checkpoint ended = open;
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
        open = null;
    }

    private boolean isSmall(Need need) {
        return need.tokens <= budget.burstTokens() / SMALL_NEED_DIVISOR;
    }

    /** Returns the sum of the needs that are met up to and including the borrower's, or of all needs. */
    private long neededUpTo(@Nullable BorrowerId borrower) {
        Need last = borrower == null ? null : needs.get(borrower);
        boolean isOnlySmall = last != null && isSmall(last);
        long sum = 0;
        for (Map.Entry<BorrowerId, Need> entry : needs.entrySet()) {
            if (!isOnlySmall || isSmall(entry.getValue())) {
                sum += entry.getValue().tokens;
            }
            if (entry.getKey().equals(borrower)) {
                break;
            }
        }
        return sum;
    }

    /** Returns whether the first need waits for tokens that this borrower may hold. */
    private boolean isRecalled(BorrowerId borrower) {
        Iterator<Map.Entry<BorrowerId, Need>> first = needs.entrySet().iterator();
        if (!first.hasNext()) {
            return false;
        }
        Map.Entry<BorrowerId, Need> need = first.next();
        return !need.getKey().equals(borrower) && need.getValue().tokens > level - outstanding;
    }

    private long expiryNanos() {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(options.countAsSpentMs());
    }

    /** Returns the state for the next leader when this one lends no more. */
    SavedBudget save(String team) {
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

    int waiting() {
        return needs.size();
    }

    /**
     * A checkpoint whose commit is awaited.
     *
     * @param allowance tokens that may be lent under it
     * @param available tokens that it leaves to the next leader
     * @param isFull whether it says that the bucket is full
     */
    private record Checkpoint(long allowance, long available, boolean isFull) {}

    /** What one borrower has borrowed. */
    private static final class Account {
        private long tokens;
        private long expiryNanos;
    }

    /** What one borrower's first waiting request lacks. */
    private static final class Need {
        private long tokens;
        private long seenNanos;

        void update(long newTokens, long newSeenNanos) {
            tokens = newTokens;
            seenNanos = newSeenNanos;
        }
    }

    /**
     * Answer to one borrower.
     *
     * @param tokens tokens lent in addition to what was renewed
     * @param isRecalled whether the borrower should return what it holds
     */
    record Lent(long tokens, boolean isRecalled) {}
}
