package io.chivehollow.state.consensus;

import org.testng.annotations.Test;

/**
 * Guards against lost or conflicting commits, two lease holders and a stalled group while instances are replaced, with
 * and without notice, under random faults.
 *
 * <p>{@code -Dtest=ReplacementSimulationTest -Dreplacement.seed=N} replays one seed.
 */
public class ReplacementSimulationTest {

    private static final int SEEDS = Integer.getInteger("replacement.seeds", 1_000);

    @Test
    public void survivesReplacementsUnderRandomFaults() {
        Long only = Long.getLong("replacement.seed");
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
            RandomReplacements.run(seed);
        } catch (RuntimeException e) {
            throw new AssertionError("Seed " + seed + ": " + e + "; replay with -Dreplacement.seed=" + seed, e);
        }
    }
}
