package io.chivehollow.coordination.budget;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.SavedBudget;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a borrower admits queued requests in the order of their deadlines, refuses those that can never be
 * admitted, stops using expired loans, and does not use up a small burst in advance.
 */
public class BudgetBorrowerTest {

    private static final TeamId TEAM = TeamId.of("team");
    private static final LendingPeriod PERIOD = new LendingPeriod(1, 0);

    private SimulatedTime time;
    private TeamBudget budget;
    private BudgetLender lender;
    private BudgetBorrower borrower;

    @BeforeMethod
    public void start() {
        time = new SimulatedTime();
        budget = new TeamBudget(10, 1_000);
        lender = BudgetLender.create(BudgetOptions.defaults());
        lender.start(PERIOD, List.of());
        borrower = BudgetBorrower.create(
                InstanceId.of("gateway"), 1, BudgetOptions.defaults(), this::budgetOf, time.clock(1, 0), () -> {});
        // The loans of earlier leaders have expired after 3.3 s, and 100 s of refill have passed.
        time.runUntilMs(103_300);
    }

    private Optional<TeamBudget> budgetOf(TeamId team) {
        return team.equals(TEAM) ? Optional.of(budget) : Optional.empty();
    }

    private void exchange() {
        borrower.onLoan(lend(borrower.nextReport()));
    }

    /** Commits a checkpoint that permits the loan and returns the response to the report. */
    private Loan lend(Borrow report) {
        lender.needsCheckpoint(report, this::budgetOf, PERIOD, time.nowNanos());
        List<SavedBudget> checkpoint = lender.startCheckpoint(this::budgetOf, PERIOD, time.nowNanos());
        lender.endCheckpoint(PERIOD, checkpoint, true);
        return lender.borrow(report, this::budgetOf, PERIOD, time.nowNanos()).orElseThrow();
    }

    /** Guards against an interactive request that is refused because batch requests are queued ahead of it. */
    @Test
    public void requestWithTheEarlierDeadlineIsAdmittedFirst() {
        CompletableFuture<Reservation> batch = borrower.reserve(TEAM, 1_000, 60_000);
        CompletableFuture<Reservation> interactive = borrower.reserve(TEAM, 300, 5_000);
        exchange();
        assertTrue(interactive.isDone());
        assertFalse(batch.isDone());
    }

    /**
     * Guards against a request that blocks the team's other requests: a release lowers the burst below the cost of a
     * queued request, which can then never be admitted.
     */
    @Test
    public void requestAboveALoweredBurstIsRefused() {
        CompletableFuture<Reservation> large = borrower.reserve(TEAM, 900, 60_000);
        budget = new TeamBudget(10, 500);
        CompletableFuture<Reservation> small = borrower.reserve(TEAM, 100, 60_000);
        exchange();
        assertTrue(large.isCompletedExceptionally());
        assertEquals(small.join().tokens(), 100);
    }

    /**
     * Guards against the use of a loan after its validity of 3 s, and against a retried report that is applied twice
     * because its first response was lost.
     */
    @Test
    public void loanExpiresAndRetriedReportIsAppliedOnce() {
        borrower.reserve(TEAM, 100, 60_000);
        Loan first = lend(borrower.nextReport());
        Loan retried = lend(borrower.nextReport());
        assertEquals(retried, first);
        long outstanding =
                lender.usage(this::budgetOf, PERIOD, time.nowNanos()).get(0).getOutstandingTokens();
        assertEquals(outstanding, first.getItems(0).getLentTokens());
        borrower.onLoan(first);
        time.runUntilMs(time.nowNanos() / TimeUnit.MILLISECONDS.toNanos(1) + 3_001);
        assertFalse(borrower.reserve(TEAM, 1, 60_000).isDone());
    }

    /** Returns the tokens borrowed in advance 1 s after a request with the given cost. */
    private long advanceTokens(BudgetOptions options, long tokens) {
        borrower =
                BudgetBorrower.create(InstanceId.of("gateway"), 2, options, this::budgetOf, time.clock(1, 0), () -> {});
        borrower.reserve(TEAM, tokens, 60_000);
        exchange();
        time.runUntilMs(time.nowNanos() / TimeUnit.MILLISECONDS.toNanos(1) + 1_000);
        return borrower.nextReport().getItemsList().stream()
                .mapToLong(item -> item.getWantedTokens() + item.getHeldTokens())
                .sum();
    }

    /**
     * Guards against a burst that is used up in advance: with a burst of a few requests, many borrowers would each
     * borrow the cost of one large request.
     */
    @Test
    public void smallBurstsAreNotBorrowedInAdvanceForLargeRequests() {
        assertTrue(advanceTokens(BudgetOptions.defaults(), 300) > 0);
        assertEquals(advanceTokens(BudgetOptions.forSmallBursts(Tolerance.none()), 300), 0);
        long forSmallRequests = advanceTokens(BudgetOptions.forSmallBursts(Tolerance.none()), 10);
        assertTrue(forSmallRequests <= 1_000 / 64, forSmallRequests + " tokens");
    }
}
