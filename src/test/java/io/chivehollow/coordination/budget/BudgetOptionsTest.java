package io.chivehollow.coordination.budget;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.SavedBudget;
import io.chivehollow.protocol.wire.Team;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against rejections of large requests that arrive together although the team is below the limit that the
 * platform of a deployment enforces: the burst covers a few requests only and has no margin.
 */
public class BudgetOptionsTest {

    private static final long RATE_TOKENS_PER_SECOND = 47_000;
    private static final long TOLERATED_TOKENS = 190_000;
    private static final long REQUEST_TOKENS = 7_400;
    private static final LendingPeriod PERIOD = new LendingPeriod(1, 0);
    private static final TeamId TEAM = TeamId.of("team");

    private static Team team(long releaseNumber) {
        return Team.newBuilder()
                .setId(TEAM.value())
                .setRateTokensPerSecond(RATE_TOKENS_PER_SECOND)
                .setBurstTokens(RATE_TOKENS_PER_SECOND)
                .setReleaseNumber(releaseNumber)
                .build();
    }

    /** Returns how many of 15 simultaneous requests are admitted. */
    private static long admittedSimultaneousRequests(BudgetOptions options) {
        SimulatedTime time = new SimulatedTime();
        Function<TeamId, Optional<TeamBudget>> budgets = id -> Optional.of(options.budgetOf(team(0)));
        BudgetLender lender = BudgetLender.create(options);
        lender.start(PERIOD, List.of());
        BudgetBorrower borrower =
                BudgetBorrower.create(InstanceId.of("g"), 1, options, budgets, time.clock(1, 0), () -> {});
        time.runUntilMs(TimeUnit.SECONDS.toMillis(10));
        var requests = IntStream.range(0, 15)
                .mapToObj(i -> borrower.reserve(TEAM, REQUEST_TOKENS, 112))
                .toList();
        for (int i = 0; i < requests.size(); i++) {
            var report = borrower.nextReport();
            lender.needsCheckpoint(report, budgets, PERIOD, time.nowNanos());
            List<SavedBudget> checkpoint = lender.startCheckpoint(budgets, PERIOD, time.nowNanos());
            lender.endCheckpoint(PERIOD, checkpoint, true);
            borrower.onLoan(
                    lender.borrow(report, budgets, PERIOD, time.nowNanos()).orElseThrow());
        }
        return requests.stream().filter(request -> request.isDone()).count();
    }

    @Test
    public void simultaneousRequestsWithinTheToleranceAreAdmitted() {
        assertEquals(
                admittedSimultaneousRequests(BudgetOptions.forSmallBursts(0)), RATE_TOKENS_PER_SECOND / REQUEST_TOKENS);
        assertEquals(admittedSimultaneousRequests(BudgetOptions.forSmallBursts(TOLERATED_TOKENS)), 15);
    }

    /** Teams of a release get no margin, because their rate and burst are guaranteed limits. */
    @Test
    public void releasedTeamsKeepTheirBurst() {
        BudgetOptions options = BudgetOptions.forSmallBursts(TOLERATED_TOKENS);
        assertEquals(options.budgetOf(team(3)).burstTokens(), RATE_TOKENS_PER_SECOND);
        assertEquals(BudgetOptions.defaults().budgetOf(team(0)).burstTokens(), RATE_TOKENS_PER_SECOND);
    }

    @Test
    public void marginAndAllowancesStayBelowTheTolerance() {
        long margin = BudgetOptions.forSmallBursts(TOLERATED_TOKENS).deploymentMarginTokens();
        SimulatedTime time = new SimulatedTime();
        long offline = 0;
        for (int process = 0; process < 29; process++) {
            OfflineAllowance allowance = OfflineAllowance.of(TOLERATED_TOKENS, time.clock(1, 0));
            allowance.onAnswer(29);
            while (allowance.take(TEAM, 100)) {
                offline += 100;
            }
        }
        assertTrue(margin + offline <= TOLERATED_TOKENS * 9 / 10, margin + " and " + offline);
    }
}
