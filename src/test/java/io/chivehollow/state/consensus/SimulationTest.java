package io.chivehollow.state.consensus;

import java.util.Set;

import org.testng.annotations.Test;

/**
 * Guards against lost or conflicting commits, two lease holders, wrong age bounds and a stalled group under random
 * faults.
 *
 * <p>{@code -Dtest=SimulationTest -Dconsensus.seed=N} replays one seed.
 */
public class SimulationTest {

    private static final int SEEDS = Integer.getInteger("consensus.seeds", 1_000);

    @Test
    public void survivesRandomFaults() {
        Long only = Long.getLong("consensus.seed");
        if (only != null) {
            runSeed(only);
            return;
        }
        for (long seed = 1; seed <= SEEDS; seed++) {
            runSeed(seed);
        }
    }

    private static void runSeed(long seed) {
        try {
            RandomFaults.run(seed, Set.of());
        } catch (RuntimeException e) {
            throw new AssertionError("Seed " + seed + ": " + e + "; replay with -Dconsensus.seed=" + seed, e);
        }
    }
}
