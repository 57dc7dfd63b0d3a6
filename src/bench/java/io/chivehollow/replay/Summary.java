package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The scores of all seeds and policies for one deployment, and whether the stated outcomes hold.
 *
 * <p>Immutable and thread-safe.
 */
record Summary(String deployment, List<Score> scores, List<Outcome> outcomes) {

    // The bounds come from the requirements, not from measurements.
    private static final double MIN_GOODPUT_RATIO = 1.3;
    private static final double MAX_WASTED_PREFILL = 0.01;
    private static final double MIN_WORST_TEAM = 0.9;
    private static final double MAX_WRONGFUL_REFUSALS = 0.001;
    private static final double MIN_OUT_RATIO = 0.9;
    private static final double MAX_HELD_MS = 2_100;

    /** A stated outcome with its measured value; {@code worstSeed} is the seed with the least favourable value. */
    record Outcome(String name, double value, String bound, boolean holds, long worstSeed) {}

    static Summary of(String deployment, List<Score> scores) {
        List<Score> product = scores.stream()
                .filter(s -> s.policy().equals(ReplayRun.PRODUCT))
                .toList();
        List<Outcome> outcomes = new ArrayList<>();
        if (!product.isEmpty()) {
            boolean compared = scores.stream().anyMatch(s -> !s.policy().equals(ReplayRun.PRODUCT));
            if (compared) {
                outcomes.add(atLeast("goodput ratio", product, s -> goodputRatio(s, scores), MIN_GOODPUT_RATIO));
            }
            outcomes.add(below("wasted prefill", product, Score::wastedPrefillShare, MAX_WASTED_PREFILL));
            outcomes.add(atLeast("worst team", product, Score::worstTeamRatio, MIN_WORST_TEAM));
            outcomes.add(atMost("wrongful refusals", product, Score::wrongfulRefusals, MAX_WRONGFUL_REFUSALS));
            outcomes.add(atLeast("domain out", product, Score::outRatio, MIN_OUT_RATIO));
            outcomes.add(never("memory held for gone caller, ms", product, Score::longestHeldMs, MAX_HELD_MS));
            outcomes.add(never("cold overloads", product, Score::coldOverloads, 0));
            outcomes.add(never("accepted in domain out", product, Score::acceptedInDomainOut, 0));
        }
        return new Summary(deployment, List.copyOf(scores), List.copyOf(outcomes));
    }

    /** Returns whether all outcomes were measured and hold. */
    boolean holds() {
        return outcomes.stream().anyMatch(o -> o.name().equals("goodput ratio"))
                && outcomes.stream().allMatch(Outcome::holds);
    }

    double median(String policy, ToDoubleFunction<Score> value) {
        return median(of(policy), value);
    }

    /** Returns the median of the highest goodput ratio that any policy could reach, or 0 if no baseline was run. */
    double ceilingRatio() {
        List<Score> product = of(ReplayRun.PRODUCT);
        boolean compared = scores.size() > product.size();
        return compared ? median(product, s -> s.ceilingPerSecond() / bestBaseline(s, scores)) : 0;
    }

    /** Returns the mean of a loss over the seeds, for the {@link ReplayRun#PRODUCT} policy. */
    double meanLoss(ToDoubleFunction<Losses> loss) {
        return of(ReplayRun.PRODUCT).stream()
                .mapToDouble(s -> loss.applyAsDouble(s.losses()))
                .average()
                .orElse(0);
    }

    private List<Score> of(String policy) {
        return scores.stream().filter(s -> s.policy().equals(policy)).toList();
    }

    private static double goodputRatio(Score score, List<Score> all) {
        return score.goodputPerSecond() / bestBaseline(score, all);
    }

    private static double bestBaseline(Score score, List<Score> all) {
        double best = all.stream()
                .filter(s -> s.seed() == score.seed() && !s.policy().equals(ReplayRun.PRODUCT))
                .mapToDouble(Score::goodputPerSecond)
                .max()
                .orElse(0);
        return Math.max(best, 1e-9);
    }

    private static Outcome atLeast(String name, List<Score> scores, ToDoubleFunction<Score> value, double bound) {
        double median = median(scores, value);
        long worst = scores.stream()
                .min(Comparator.comparingDouble(value))
                .orElseThrow()
                .seed();
        return new Outcome(name, median, "median >= " + bound, median >= bound, worst);
    }

    private static Outcome atMost(String name, List<Score> scores, ToDoubleFunction<Score> value, double bound) {
        double median = median(scores, value);
        return new Outcome(
                name,
                median,
                "median <= " + bound,
                median <= bound,
                highest(scores, value).seed());
    }

    private static Outcome below(String name, List<Score> scores, ToDoubleFunction<Score> value, double bound) {
        double median = median(scores, value);
        return new Outcome(
                name,
                median,
                "median < " + bound,
                median < bound,
                highest(scores, value).seed());
    }

    private static Outcome never(String name, List<Score> scores, ToDoubleFunction<Score> value, double bound) {
        Score worst = highest(scores, value);
        double highest = value.applyAsDouble(worst);
        return new Outcome(name, highest, "all <= " + bound, highest <= bound, worst.seed());
    }

    private static Score highest(List<Score> scores, ToDoubleFunction<Score> value) {
        return scores.stream().max(Comparator.comparingDouble(value)).orElseThrow();
    }

    private static double median(List<Score> scores, ToDoubleFunction<Score> value) {
        double[] sorted = scores.stream().mapToDouble(value).sorted().toArray();
        int middle = sorted.length / 2;
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
