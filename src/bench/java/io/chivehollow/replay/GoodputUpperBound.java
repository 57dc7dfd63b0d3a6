package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

import io.chivehollow.replay.Trace.Arrival;
import io.chivehollow.replay.Trace.RequestKind;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Window;

/**
 * Computes an upper bound on the goodput that any policy could reach at the peak of a trace.
 *
 * <p>The bound counts the interactive requests within their team's rate limit that fit into the available engine time:
 * requests whose work must be done within one time window can together take no more than the engine time of that
 * window, for prefill and for decode. Requests are counted in ascending order of their work; the last one counts in
 * part. Batch work, cold engines, waits for the end of a step, and the placement of requests on single engines are
 * ignored, and every shared prefix counts as cached, so that the bound is too high rather than too low. Stateless and
 * thread-safe.
 */
final class GoodputUpperBound {

    private static final long[] WINDOWS_MS = {5_000, 10_000, 20_000, 40_000, 80_000, 160_000};
    // Weights of memory against batch slots as the scarce resource of a decode step. Each weight gives a valid bound.
    private static final double[] MEMORY_WEIGHTS = {0, 0.25, 0.5, 0.75, 1};

    private GoodputUpperBound() {}

    /** Returns the bound in requests per second. */
    static double goodPerSecond(Trace trace, List<Request> requests) {
        CostModel model = CostModel.of(trace.deployment());
        Window peak = trace.window("peak");
        List<Arrival> offered = requests.stream()
                .filter(r -> r.arrival.kind() == RequestKind.INTERACTIVE && r.withinRateLimit)
                .map(r -> r.arrival)
                .filter(a -> peak.contains(a.timeMs()) && canFinish(a, model))
                .toList();
        double bound = offered.size();
        for (long lengthMs : WINDOWS_MS) {
            bound = Math.min(bound, prefillBound(trace, model, offered, lengthMs));
            for (double weight : MEMORY_WEIGHTS) {
                bound = Math.min(bound, decodeBound(trace, model, offered, lengthMs, weight));
            }
        }
        return bound * 1_000 / (peak.toMs() - peak.fromMs());
    }

    // A request whose caller cancels before its earliest possible end cannot count as good for any policy.
    private static boolean canFinish(Arrival a, CostModel model) {
        double earliestMs = prefillMs(a)
                + model.transferUs(a.promptTokens()) / 1_000.0
                + a.outputTokens() * CostModel.stepMs(1, a.promptTokens());
        return a.cancelAfterMs() < 0 || a.cancelAfterMs() >= earliestMs;
    }

    private static double prefillBound(Trace trace, CostModel model, List<Arrival> offered, long lengthMs) {
        double servers = servers(trace, Role.PREFILL);
        return bound(
                offered,
                lengthMs,
                servers,
                GoodputUpperBound::prefillMs,
                a -> CostModel.FIRST_TOKEN_TARGET_MS - model.transferUs(a.promptTokens()) / 1_000.0);
    }

    private static double prefillMs(Arrival a) {
        int cached = a.prefixGroup() == 0 ? 0 : a.prefixTokens();
        return CostModel.prefillUs(a.promptTokens() - cached) / 1_000.0;
    }

    // The part of a step that does not depend on the batch is divided over the batch by slots and memory; the shares
    // of all requests of a batch add up to at most 1.
    private static double decodeBound(
            Trace trace, CostModel model, List<Arrival> offered, long lengthMs, double weight) {
        double stepMs = CostModel.stepMs(0, 0);
        ToDoubleFunction<Arrival> engineMs = a -> {
            double share = weight * CostModel.blocks(a) / model.totalBlocks() + (1 - weight) / CostModel.MAX_RUNNING;
            return a.outputTokens() * (CostModel.stepMs(1, a.promptTokens()) - stepMs * (1 - share));
        };
        return bound(
                offered,
                lengthMs,
                servers(trace, Role.DECODE),
                engineMs,
                a -> CostModel.FIRST_TOKEN_TARGET_MS
                        + CostModel.TOKEN_INTERVAL_TARGET_MS * Math.max(1, a.outputTokens() - 1));
    }

    private static double bound(
            List<Arrival> offered,
            long lengthMs,
            double servers,
            ToDoubleFunction<Arrival> workMs,
            ToDoubleFunction<Arrival> allowedMs) {
        double bound = 0;
        long fromMs = offered.isEmpty() ? 0 : offered.get(0).timeMs();
        List<Double> inWindow = new ArrayList<>();
        for (Arrival a : offered) {
            while (a.timeMs() >= fromMs + lengthMs) {
                bound += countFitting(inWindow, lengthMs * servers);
                inWindow.clear();
                fromMs += lengthMs;
            }
            if (a.timeMs() + allowedMs.applyAsDouble(a) <= fromMs + lengthMs) {
                inWindow.add(workMs.applyAsDouble(a));
            } else {
                bound++;
            }
        }
        return bound + countFitting(inWindow, lengthMs * servers);
    }

    private static double countFitting(List<Double> worksMs, double capacityMs) {
        double leftMs = capacityMs;
        double count = 0;
        for (double workMs : worksMs.stream().sorted(Comparator.naturalOrder()).toList()) {
            double part = Math.min(1, leftMs / workMs);
            count += part;
            leftMs -= part * workMs;
        }
        return count;
    }

    private static long servers(Trace trace, Role role) {
        return trace.servers().stream().filter(s -> s.role() == role).count();
    }
}
