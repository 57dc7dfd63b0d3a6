package io.chivehollow.runtime;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.budget.BudgetBorrower;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.budget.OfflineAllowance;
import io.chivehollow.coordination.budget.TeamBudget;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a retry time that is too short, so that the retried request still exceeds the rate. */
public class BorrowedBudgetTest {

    private static BorrowedBudget budget(Optional<TeamBudget> budget) {
        BudgetBorrower borrower = BudgetBorrower.create(
                InstanceId.of("g"), 1, BudgetOptions.defaults(), team -> budget, Clock.system(), () -> {});
        return new BorrowedBudget(borrower, team -> budget, OfflineAllowance.of(0, Clock.system()), Clock.system());
    }

    /** A request within the rate must not be refused because the lender is unreachable for a moment. */
    @Test
    public void requestsWithinOfflineAllowanceAreAdmittedWhileLenderIsUnreachable() {
        Optional<TeamBudget> budget = Optional.of(new TeamBudget(300, 10_000));
        BudgetBorrower borrower = BudgetBorrower.create(
                InstanceId.of("g"), 1, BudgetOptions.defaults(), team -> budget, Clock.system(), () -> {});
        OfflineAllowance allowance = OfflineAllowance.of(2_000, Clock.system());
        BorrowedBudget budgets = new BorrowedBudget(borrower, team -> budget, allowance, Clock.system());
        TeamId team = TeamId.of("t");
        allowance.onLenderResponse(8);
        var first = budgets.reserve(team, 60, 0);
        LockSupport.parkNanos(5_000_000);
        borrower.expireQueuedRequests();
        assertFalse(first.isCompletedExceptionally());
        assertTrue(first.isDone());
        var second = budgets.reserve(team, 60, 0);
        LockSupport.parkNanos(5_000_000);
        borrower.expireQueuedRequests();
        assertTrue(second.isCompletedExceptionally());
    }

    @Test
    public void waitCoversWholeRequestAndIsRoundedUp() {
        TeamId team = TeamId.of("t");
        BorrowedBudget limited = budget(Optional.of(new TeamBudget(300, 10_000)));
        assertEquals(limited.waitMs(team, 300), OptionalLong.of(1_000));
        assertEquals(limited.waitMs(team, 301), OptionalLong.of(1_004));
        assertEquals(limited.waitMs(team, 10_000), OptionalLong.of(33_334));
        assertEquals(limited.waitMs(team, 10_001), OptionalLong.empty());
        assertEquals(budget(Optional.empty()).waitMs(team, 1), OptionalLong.empty());
        BorrowedBudget huge = budget(Optional.of(new TeamBudget(1, Long.MAX_VALUE)));
        assertEquals(huge.waitMs(team, Long.MAX_VALUE), OptionalLong.of(Long.MAX_VALUE));
    }
}
