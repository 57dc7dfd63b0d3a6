package io.chivehollow.replay;

import java.util.List;
import java.util.function.Predicate;

/**
 * The causes for which interactive requests of the peak were not good, each as a share of all interactive requests of
 * the peak that were within their team's rate limit.
 *
 * <p>The first four components add up to the total loss. The last four add up to the sum of {@code refused} and
 * {@code late}. Immutable and thread-safe.
 *
 * @param expired the prefill result expired, or was lost with an engine, at least once
 * @param refused no first token before the caller's timeout
 * @param late first token after the target
 * @param slow first token in time, but later tokens too slow or the response incomplete
 * @param noPlace refused by every prefill sidecar that was queried, because the request would have waited too long
 * @param noMemory refused memory by decode sidecars before the target was missed
 * @param queued waited longer for the prefill engine than estimated
 * @param lateStart every step was started in time for the target, but the target was missed
 */
record Losses(
        double expired,
        double refused,
        double late,
        double slow,
        double noPlace,
        double noMemory,
        double queued,
        double lateStart) {

    static Losses of(List<Request> counted) {
        List<Request> lost = counted.stream().filter(r -> !r.isGood()).toList();
        List<Request> notRestarted = lost.stream().filter(r -> r.restarts == 0).toList();
        List<Request> missedTarget = notRestarted.stream()
                .filter(r -> r.firstTokenUs < 0 || r.firstTokenUs > r.targetUs())
                .toList();
        List<Request> deprioritized = missedTarget.stream().filter(r -> r.late).toList();
        double all = Math.max(1, counted.size());
        return new Losses(
                (lost.size() - notRestarted.size()) / all,
                count(missedTarget, r -> r.firstTokenUs < 0) / all,
                count(missedTarget, r -> r.firstTokenUs >= 0) / all,
                (notRestarted.size() - missedTarget.size()) / all,
                count(deprioritized, r -> r.memoryRefusals == 0 && !r.wasQueued) / all,
                count(deprioritized, r -> r.memoryRefusals > 0) / all,
                count(deprioritized, r -> r.memoryRefusals == 0 && r.wasQueued) / all,
                (missedTarget.size() - deprioritized.size()) / all);
    }

    private static long count(List<Request> requests, Predicate<Request> condition) {
        return requests.stream().filter(condition).count();
    }
}
