package io.chivehollow.coordination.budget;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.TeamId;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.BorrowItem;
import io.chivehollow.protocol.wire.SavedBudget;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a burst that is lent twice, or not at all, after the leader has failed and another replica continues
 * from its checkpoints.
 */
public class BudgetLenderTest {

    private static final TeamBudget BUDGET = new TeamBudget(10, 600);
    private static final LendingPeriod FIRST = new LendingPeriod(1, 0);
    private static final LendingPeriod SECOND = new LendingPeriod(2, TimeUnit.SECONDS.toNanos(20));

    private BudgetLender lender;
    private Optional<SavedBudget> checkpoint;

    @BeforeMethod
    public void start() {
        checkpoint = Optional.empty();
        startPeriod(FIRST);
    }

    private void startPeriod(LendingPeriod period) {
        lender = BudgetLender.create(BudgetOptions.defaults());
        long seenNanos = period.leaseStartNanos();
        lender.start(
                period,
                checkpoint.map(saved -> new BudgetCheckpoint(saved, seenNanos)).stream()
                        .toList());
    }

    @Test
    public void teamWithoutACheckpointHasItsBurstOnce() {
        assertEquals(lent(FIRST, 1, 600, 0.1), 600);
        assertEquals(lent(FIRST, 2, 600, 0.2), 0);
    }

    /** Guards against the rejection of a team that has not used its burst, because a new leader lends nothing. */
    @Test
    public void idleTeamKeepsItsBurstWhenALeaderIsLost() {
        startPeriod(SECOND);
        assertEquals(lent(SECOND, 1, 600, 20.1), 600);
    }

    @Test
    public void nextLeaderLendsTheRemainderImmediately() {
        assertEquals(lent(FIRST, 1, 200, 19), 200);
        startPeriod(SECOND);
        assertEquals(lent(SECOND, 2, 400, 20.05), 400);
        assertEquals(lent(SECOND, 3, 1, 20.06), 0);
    }

    @Test
    public void nextLeaderDoesNotLendTheBurstAgain() {
        assertEquals(lent(FIRST, 1, 600, 19), 600);
        startPeriod(SECOND);
        // 20 tokens would be available 2 s after the start of its lease only if the loans had expired by then.
        assertEquals(lent(SECOND, 2, 21, 22), 0);
    }

    @Test
    public void nothingIsLentWithoutACommittedCheckpoint() {
        Borrow borrow = report(1, FIRST, 600);
        assertTrue(lender.needsCheckpoint(borrow, this::budget, FIRST, 1_000));
        List<SavedBudget> budgets = lender.startCheckpoint(this::budget, FIRST, 1_000);
        assertEquals(lend(borrow, FIRST, 2_000), 0);
        lender.endCheckpoint(FIRST, budgets, false);
        assertEquals(lend(report(2, FIRST, 600), FIRST, 3_000), 0);
    }

    /**
     * Guards against rejected calls to ordinary services, which cost few tokens, while prompts of the same team wait
     * for many.
     */
    @Test
    public void smallShortfallDoesNotWaitBehindALargeOne() {
        assertEquals(lent(FIRST, 1, 585, 0.1), 585);
        assertEquals(lent(FIRST, 2, 400, 0.2), 0);
        assertEquals(lent(FIRST, 3, 9, 0.3), 9);
        assertEquals(lent(FIRST, 4, 10, 1.4), 0);
    }

    /** Guards against a checkpoint that still records a low budget long after the bucket was refilled. */
    @Test
    public void refilledTeamIsFullForTheNextLeader() {
        assertEquals(lent(FIRST, 1, 200, 1), 200);
        for (int second = 2; second <= 120; second += 2) {
            writeCheckpoint(FIRST, TimeUnit.SECONDS.toNanos(second));
        }
        assertEquals(checkpoint, Optional.empty());
    }

    private Optional<TeamBudget> budget(TeamId team) {
        return Optional.of(BUDGET);
    }

    private void writeCheckpoint(LendingPeriod period, long nowNanos) {
        List<SavedBudget> budgets = lender.startCheckpoint(this::budget, period, nowNanos);
        budgets.forEach(saved -> checkpoint = saved.getFull() ? Optional.empty() : Optional.of(saved));
        lender.endCheckpoint(period, budgets, true);
    }

    /** Requests tokens as a new borrower and returns the loan, after committing a checkpoint if one is needed. */
    private long lent(LendingPeriod period, int borrower, long tokens, double atSeconds) {
        long nowNanos = (long) (atSeconds * 1e9);
        Borrow borrow = report(borrower, period, tokens);
        if (lender.needsCheckpoint(borrow, this::budget, period, nowNanos)) {
            writeCheckpoint(period, nowNanos);
        }
        return lend(borrow, period, nowNanos);
    }

    private long lend(Borrow borrow, LendingPeriod period, long nowNanos) {
        return lender.borrow(borrow, this::budget, period, nowNanos)
                .orElseThrow()
                .getItems(0)
                .getLentTokens();
    }

    private static Borrow report(int borrower, LendingPeriod period, long tokens) {
        return Borrow.newBuilder()
                .setInstance("gateway-" + borrower)
                .setSequence(1)
                .setTerm(period.term())
                .setLease(period.leaseStartNanos())
                .addItems(BorrowItem.newBuilder()
                        .setTeam("t")
                        .setWantedTokens(tokens)
                        .setNeededTokens(tokens))
                .build();
    }
}
