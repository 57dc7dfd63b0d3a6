package io.chivehollow.state.consensus;

import java.util.Set;
import java.util.function.Supplier;

import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.SmallSegments;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against a {@link SafetyChecker} that does not detect the violations caused by a missing safeguard. */
public class ConsensusSafeguardTest {

    private static final int SEEDS = 1_000;

    /** Safeguards whose absence random faults reveal; {@link ConsensusNodeTest} covers CURRENT_TERM_COMMIT. */
    @DataProvider
    public Object[][] safeguards() {
        return new Object[][] {
            {ConsensusSafeguard.LEASE},
            {ConsensusSafeguard.SYNC_BEFORE_RESPONSE},
            {ConsensusSafeguard.INCARNATION},
            {ConsensusSafeguard.ELECTION_RESTRICTION}
        };
    }

    /** With the safeguard disabled, the same random faults must lead to a violation. */
    @Test(dataProvider = "safeguards")
    public void checkerFindsViolationWithoutSafeguard(ConsensusSafeguard safeguard) {
        String found = "";
        for (long seed = 1; seed <= SEEDS && found.isEmpty(); seed++) {
            try {
                RandomFaults.run(seed, Set.of(safeguard));
            } catch (SafetyChecker.ViolationException e) {
                found = "seed " + seed + ": " + e.getMessage();
            } catch (Simulation.StalledException e) {
                // Without the safeguard the group may also stall permanently, which this test does not check.
                continue;
            }
        }
        System.out.println("Without " + safeguard + ": " + found);
        assertTrue(!found.isEmpty(), "No violation without " + safeguard);
    }

    /** State machines without one of the safeguards that protect idempotency records on disk. */
    @DataProvider
    public Object[][] statesWithoutSafeguard() {
        return new Object[][] {
            {"sync of segments", (Supplier<ControlState>) SmallSegments::withoutSync},
            {"lookup in segments", (Supplier<ControlState>) SmallSegments::withoutLookup}
        };
    }

    /** A snapshot that references an unsynced segment, or a lookup that skips segments, must lead to a violation. */
    @Test(dataProvider = "statesWithoutSafeguard")
    public void checkerFindsLostRecordsWithoutSafeguard(String name, Supplier<ControlState> states) {
        String found = "";
        for (long seed = 1; seed <= SEEDS && found.isEmpty(); seed++) {
            try {
                RandomFaults.run(seed, Set.of(), states);
            } catch (SafetyChecker.ViolationException e) {
                found = "seed " + seed + ": " + e.getMessage();
            }
        }
        System.out.println("Without " + name + ": " + found);
        assertTrue(!found.isEmpty(), "No violation without " + name);
    }

    /**
     * Without the vote hold, a member that receives no messages from the leader is elected while the lease is valid.
     */
    @Test
    public void checkerFindsViolationWithoutVoteHold() {
        int violations = 0;
        for (long seed = 1; seed <= 20; seed++) {
            blockMessagesFromLeaderToOneFollower(seed, Set.of());
            try {
                blockMessagesFromLeaderToOneFollower(seed, Set.of(ConsensusSafeguard.VOTE_HOLD));
            } catch (SafetyChecker.ViolationException e) {
                assertTrue(e.getMessage().startsWith("Several lease holders"), e.getMessage());
                violations++;
            }
        }
        assertTrue(violations > 0, "No violation without the vote hold");
    }

    private static void blockMessagesFromLeaderToOneFollower(long seed, Set<ConsensusSafeguard> disabledSafeguards) {
        Simulation simulation = new Simulation(seed, 3, disabledSafeguards);
        simulation.commit(3);
        int leader = simulation.leader().orElseThrow().number;
        simulation.setBlocked(leader, (leader + 1) % 3, true);
        simulation.run(5_000);
    }
}
