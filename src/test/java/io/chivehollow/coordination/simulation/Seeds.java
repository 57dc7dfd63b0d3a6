package io.chivehollow.coordination.simulation;

import java.util.Optional;
import java.util.function.LongFunction;

import org.testng.Reporter;

/**
 * Runs seeded simulations.
 *
 * <p>If the system property {@code chivehollow.seed} is set, {@link #check} runs only that seed. Stateless and
 * thread-safe.
 */
public final class Seeds {

    private Seeds() {}

    /** Runs the simulation for each seed and fails with the seed of the first run that reports a violation. */
    public static void check(int count, LongFunction<Optional<String>> simulation) {
        Long replayedSeed = Long.getLong("chivehollow.seed");
        if (replayedSeed != null) {
            checkOne(replayedSeed, simulation);
            return;
        }
        for (long seed = 0; seed < count; seed++) {
            checkOne(seed, simulation);
        }
    }

    private static void checkOne(long seed, LongFunction<Optional<String>> simulation) {
        Optional<String> violation;
        try {
            violation = simulation.apply(seed);
        } catch (RuntimeException e) {
            throw new AssertionError("Simulation failed; replay with -Dchivehollow.seed=" + seed, e);
        }
        if (violation.isPresent()) {
            throw new AssertionError(violation.get() + "; replay with -Dchivehollow.seed=" + seed);
        }
    }

    /** Fails unless the simulation, in which a safeguard is disabled, reports a violation for one of the seeds. */
    public static void checkFound(int count, LongFunction<Optional<String>> simulation) {
        for (long seed = 0; seed < count; seed++) {
            Optional<String> violation = simulation.apply(seed);
            if (violation.isPresent()) {
                Reporter.log("Violation found with seed " + seed + ": " + violation.get(), true);
                return;
            }
        }
        throw new AssertionError("The checker found no violation in " + count + " seeds");
    }
}
