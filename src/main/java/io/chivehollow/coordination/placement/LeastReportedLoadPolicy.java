package io.chivehollow.coordination.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Ranks the candidates by the number of reported requests; a baseline for the replay benchmark.
 *
 * <p>Candidates with equal loads are ranked in random order. Thread-safe, provided that the random generator is.
 */
public final class LeastReportedLoadPolicy implements PlacementPolicy {

    /** Compares by reported requests, running and queued, and then by free memory blocks, most first. */
    static final Comparator<Candidate> BY_REPORTED_LOAD = Comparator.<Candidate>comparingInt(
                    c -> c.load().running() + c.load().queued())
            .thenComparingInt(c -> -c.load().freeBlocks());

    private LeastReportedLoadPolicy() {}

    /** Returns the policy. */
    public static LeastReportedLoadPolicy create() {
        return new LeastReportedLoadPolicy();
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, List<Candidate> candidates, RandomGenerator random) {
        List<Candidate> ranking = new ArrayList<>(candidates);
        for (int i = ranking.size() - 1; i > 0; i--) {
            Collections.swap(ranking, i, random.nextInt(i + 1));
        }
        ranking.sort(BY_REPORTED_LOAD);
        return ranking;
    }
}
