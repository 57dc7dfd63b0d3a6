package io.chivehollow.coordination.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws two candidates at random and ranks the one with fewer reported requests first, without confirmation by the
 * sidecar; a baseline for the replay benchmark.
 *
 * <p>Thread-safe, provided that the random generator is.
 */
public final class TwoRandomChoicesPolicy implements PlacementPolicy {

    private TwoRandomChoicesPolicy() {}

    /** Returns the policy. */
    public static TwoRandomChoicesPolicy create() {
        return new TwoRandomChoicesPolicy();
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, List<Candidate> candidates, RandomGenerator random) {
        if (candidates.size() < 2) {
            return List.copyOf(candidates);
        }
        int first = random.nextInt(candidates.size());
        int second = random.nextInt(candidates.size() - 1);
        if (second >= first) {
            second++;
        }
        Candidate a = candidates.get(first);
        Candidate b = candidates.get(second);
        return LeastReportedLoadPolicy.BY_REPORTED_LOAD.compare(a, b) <= 0 ? List.of(a, b) : List.of(b, a);
    }
}
