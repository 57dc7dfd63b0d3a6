package io.chivehollow.state.consensus;

import java.util.function.LongConsumer;

/** Runs a simulation with consecutive seeds, or with a single one to replay it. */
final class Seeds {

    private Seeds() {}

    /**
     * Runs the seeds from 1 on; throws an {@link AssertionError} that names the first one that fails.
     *
     * @param name prefix of the system properties {@code NAME.seeds}, the number of seeds, and {@code NAME.seed}, the
     *     only seed
     * @param count number of seeds if the properties are not set
     */
    static void run(String name, int count, LongConsumer simulation) {
        Long only = Long.getLong(name + ".seed");
        long first = only == null ? 1 : only;
        long last = only == null ? Integer.getInteger(name + ".seeds", count) : only;
        for (long seed = first; seed <= last; seed++) {
            try {
                simulation.accept(seed);
            } catch (RuntimeException e) {
                throw new AssertionError("Seed " + seed + ": " + e + "; replay with -D" + name + ".seed=" + seed, e);
            }
        }
    }
}
