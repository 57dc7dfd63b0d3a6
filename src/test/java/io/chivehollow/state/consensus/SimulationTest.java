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

    @Test
    public void survivesRandomFaults() {
        Seeds.run("consensus", 1_000, seed -> RandomFaults.run(seed, Set.of()));
    }
}
