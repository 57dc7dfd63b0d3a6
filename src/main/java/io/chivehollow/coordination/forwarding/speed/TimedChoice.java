package io.chivehollow.coordination.forwarding.speed;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses a server by expected time.
 *
 * <p>Servers whose times differ little are chosen at random, so that processes that know the same do not all choose the
 * same server. Thread-safe if the random generator is.
 */
public final class TimedChoice {

    /** Share of the shortest time by which the time of a chosen server may exceed it; estimates are no better. */
    static final double NEAR_SHARE = 0.2;

    private TimedChoice() {}

    /**
     * Returns a server whose expected time is near the shortest one, or an empty value if there is no server.
     *
     * @param expectedMs returns the expected time at a server, at least 0
     */
    public static <T> Optional<T> choose(
            List<T> servers, ToDoubleFunction<? super T> expectedMs, RandomGenerator random) {
        double[] timesMs = servers.stream().mapToDouble(expectedMs).toArray();
        double shortestMs = Double.POSITIVE_INFINITY;
        for (double timeMs : timesMs) {
            shortestMs = Math.min(shortestMs, timeMs);
        }
        T chosen = null;
        int near = 0;
        for (int i = 0; i < timesMs.length; i++) {
            if (timesMs[i] <= shortestMs * (1 + NEAR_SHARE) && random.nextInt(++near) == 0) {
                chosen = servers.get(i);
            }
        }
        return Optional.ofNullable(chosen);
    }
}
