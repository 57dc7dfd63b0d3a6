package io.chivehollow.coordination.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Selects the candidates in turn, regardless of their load; a baseline for the replay benchmark.
 *
 * <p>Thread-safe.
 */
public final class RoundRobinPolicy implements PlacementPolicy {

    private final AtomicInteger next = new AtomicInteger();

    private RoundRobinPolicy() {}

    /** Returns a policy that begins with the first candidate. */
    public static RoundRobinPolicy create() {
        return new RoundRobinPolicy();
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, List<Candidate> candidates, RandomGenerator random) {
        if (candidates.isEmpty()) {
            return List.of();
        }
        List<Candidate> ranking = new ArrayList<>(candidates);
        Collections.rotate(ranking, -Math.floorMod(next.getAndIncrement(), ranking.size()));
        return ranking;
    }
}
