package io.chivehollow.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Draws two candidates at random and ranks the better one first; the sidecar of a candidate accepts or rejects the
 * request.
 *
 * <p>For a prefill, the candidate with the longest cached prefix is compared as a third one, because two draws seldom
 * contain it. More candidates, up to the configured number, are drawn at random and ranked after these. Among the
 * compared candidates, those without capacity according to their reported load are ranked last instead of being
 * excluded, because the report may be out of date. Thread-safe, provided that the random generator is.
 */
public final class TwoChoicesPolicy implements PlacementPolicy {

    private static final int DRAWS = 2;
    // Larger than the score of any candidate with capacity.
    private static final double NO_CAPACITY_PENALTY = 1e12;

    private final TwoChoicesConfig config;

    private TwoChoicesPolicy(TwoChoicesConfig config) {
        this.config = config;
    }

    /** Returns a policy with the given parameters. */
    public static TwoChoicesPolicy create(TwoChoicesConfig config) {
        return new TwoChoicesPolicy(config);
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, List<Candidate> candidates, RandomGenerator random) {
        List<Candidate> eligible = eligible(candidates);
        int wanted = Math.min(config.maxCandidates(), eligible.size());
        List<Candidate> ranking = new ArrayList<>(wanted + 1);
        draw(eligible, Math.min(DRAWS, eligible.size()), ranking, random);
        if (request.phase() == PlacementRequest.Phase.PREFILL && config.affinityWeight() > 0) {
            Candidate cached = longestCachedPrefix(eligible);
            if (cached != null && !ranking.contains(cached)) {
                ranking.add(cached);
            }
        }
        ranking.sort(Comparator.comparingDouble(candidate -> score(request, candidate)));
        draw(eligible, wanted, ranking, random);
        return ranking.size() > wanted ? ranking.subList(0, wanted) : ranking;
    }

    private static List<Candidate> eligible(List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (candidate.load().draining()) {
                return candidates.stream().filter(c -> !c.load().draining()).toList();
            }
        }
        return candidates;
    }

    // Only a few candidates are drawn, so that drawing again after a duplicate is cheaper than a shuffle.
    private static void draw(List<Candidate> from, int wanted, List<Candidate> ranking, RandomGenerator random) {
        while (ranking.size() < wanted) {
            Candidate candidate = from.get(random.nextInt(from.size()));
            if (!ranking.contains(candidate)) {
                ranking.add(candidate);
            }
        }
    }

    private static @Nullable Candidate longestCachedPrefix(List<Candidate> candidates) {
        Candidate longest = null;
        for (Candidate candidate : candidates) {
            int tokens = candidate.cachedPrefixTokens();
            if (tokens > 0 && (longest == null || tokens > longest.cachedPrefixTokens())) {
                longest = candidate;
            }
        }
        return longest;
    }

    private double score(PlacementRequest request, Candidate candidate) {
        Load load = candidate.load();
        double capacityPenalty = hasCapacity(request, load) ? 0 : NO_CAPACITY_PENALTY;
        if (request.phase() == PlacementRequest.Phase.PREFILL) {
            int cachedTokens = Math.min(candidate.cachedPrefixTokens(), request.promptTokens());
            return capacityPenalty
                    + load.queuedMs()
                    - config.affinityWeight() * config.prefillMsPerToken() * cachedTokens;
        }
        double slots = (double) (load.running() + load.queued()) / Math.max(load.rampLimit(), 1);
        double memory = load.totalBlocks() == 0 ? 0 : 1 - (double) load.freeBlocks() / load.totalBlocks();
        return capacityPenalty + Math.max(slots, memory);
    }

    private static boolean hasCapacity(PlacementRequest request, Load load) {
        return switch (request.phase()) {
            case DECODE -> load.freeBlocks() >= request.blocks() && load.running() < load.rampLimit();
            case PREFILL, PLAIN -> true;
        };
    }
}
