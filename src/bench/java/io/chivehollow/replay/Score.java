package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.FairQueue;
import io.chivehollow.replay.Request.Outcome;
import io.chivehollow.replay.Trace.Arrival;
import io.chivehollow.replay.Trace.Fault;
import io.chivehollow.replay.Trace.FaultType;
import io.chivehollow.replay.Trace.RequestKind;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Window;

/**
 * The measured values of one run; immutable and thread-safe.
 *
 * <p>An interactive request is good if it completed and met both latency targets, for the first token and for the time
 * between tokens.
 *
 * @param goodputPerSecond good interactive requests of the peak, per second
 * @param ceilingPerSecond upper bound on the goodput of any policy, see {@link GoodputUpperBound}
 * @param losses causes for which the other interactive requests of the peak were not good
 * @param goodShare good interactive requests of the peak as a share of those within their team's rate limit
 * @param peakOccupancy mean occupancy of the decode engines during the peak
 * @param prefillSeconds time that the engines spent on prefills
 * @param wastedPrefillShare share of the prefill time whose result was not used
 * @param worstTeamRatio share of good requests of the worst-served team divided by the mean over the teams, in the
 *     burst
 * @param wrongfulRefusals share of the requests within their team's rate limit that were refused or failed although
 *     capacity sufficed
 * @param outRatio goodput while a failure domain is out of service, divided by what the remaining servers can process
 * @param returnRatio the same ratio for the time after the failure domain has returned
 * @param batchShare share of the batch requests that met their deadline
 * @param plainShare share of the ordinary calls that were completed within the first token target
 * @param longestHeldMs longest time for which memory stayed allocated after the caller had cancelled or disconnected
 * @param coldOverloads decode starts on cold engines beyond their cold capacity
 * @param acceptedInDomainOut requests accepted in a failure domain more than 3 s after it was taken out of service
 */
record Score(
        String policy,
        long seed,
        double goodputPerSecond,
        double ceilingPerSecond,
        Losses losses,
        double goodShare,
        double peakOccupancy,
        double prefillSeconds,
        double wastedPrefillShare,
        double worstTeamRatio,
        double wrongfulRefusals,
        double outRatio,
        double returnRatio,
        double batchShare,
        double plainShare,
        double longestHeldMs,
        int coldOverloads,
        int acceptedInDomainOut) {

    private static final long WINDOW_MS = 10_000;
    // A server that returns to service is cold and counts as capacity only after this time, which is the duration of
    // three to five consecutive requests.
    private static final long WARM_UP_MS = 20_000;
    // Above this load a queue of the simulated size can grow for some time even with optimal placement.
    private static final double SUFFICIENT_LOAD = 0.9;

    static Score of(ReplayRun.Result run) {
        Trace trace = run.trace();
        Window peak = trace.window("peak");
        List<Request> interactive = select(run, RequestKind.INTERACTIVE);
        List<Request> atPeak = interactive.stream()
                .filter(r -> peak.contains(r.arrival.timeMs()))
                .toList();
        long good = atPeak.stream().filter(Request::isGood).count();
        RunStats stats = run.stats();
        double wasted = stats.prefillUs == 0 ? 0 : (double) stats.wastedPrefillUs / stats.prefillUs;
        return new Score(
                run.policy(),
                trace.seed(),
                good * 1_000.0 / (peak.toMs() - peak.fromMs()),
                GoodputUpperBound.goodPerSecond(trace, run.requests()),
                Losses.of(atPeak),
                goodShare(interactive, peak),
                stats.meanOccupancy(),
                stats.prefillUs / 1e6,
                wasted,
                worstTeamRatio(interactive, trace.window("burst")),
                wrongfulRefusals(run),
                feasibleRatio(run, interactive, trace.window("out")),
                feasibleRatio(run, interactive, trace.window("return")),
                goodShare(select(run, RequestKind.BATCH), new Window("all", 0, Long.MAX_VALUE)),
                goodShare(select(run, RequestKind.PLAIN), new Window("all", 0, Long.MAX_VALUE)),
                stats.longestHeldUs / 1_000.0,
                stats.coldOverloads,
                stats.acceptedInDomainOut);
    }

    // Requests whose caller has cancelled or disconnected count neither for nor against a policy.
    private static List<Request> select(ReplayRun.Result run, RequestKind kind) {
        return run.requests().stream()
                .filter(r -> r.arrival.kind() == kind && r.withinRateLimit && r.outcome != Outcome.CANCELLED)
                .toList();
    }

    private static double goodShare(List<Request> requests, Window window) {
        return requests.stream()
                .filter(r -> window.contains(r.arrival.timeMs()))
                .mapToInt(r -> r.isGood() ? 1 : 0)
                .average()
                .orElse(1);
    }

    private static double worstTeamRatio(List<Request> interactive, Window burst) {
        Map<TeamId, List<Request>> byTeam = new HashMap<>();
        interactive.forEach(r ->
                byTeam.computeIfAbsent(r.arrival.team(), t -> new ArrayList<>()).add(r));
        double sum = 0;
        double worstShare = Double.MAX_VALUE;
        for (List<Request> requests : byTeam.values()) {
            double share = goodShare(requests, burst);
            sum += share;
            worstShare = Math.min(worstShare, share);
        }
        return sum == 0 ? 0 : worstShare * byTeam.size() / sum;
    }

    private static double wrongfulRefusals(ReplayRun.Result run) {
        List<Request> withinRateLimit = run.requests().stream()
                .filter(r ->
                        r.withinRateLimit && r.arrival.kind() != RequestKind.PLAIN && r.outcome != Outcome.CANCELLED)
                .toList();
        double[] load = loadPerSecond(run, withinRateLimit);
        long wrongful = withinRateLimit.stream()
                // A response that was interrupted by the restart of an engine is a failure but not a refusal.
                .filter(r -> r.firstTokenUs < 0)
                .filter(r -> r.outcome == Outcome.REFUSED || r.outcome == Outcome.FAILED)
                .filter(r -> {
                    int from = (int) (r.arrival.timeMs() / 1_000);
                    int to = (int) Math.min(load.length - 1, r.endedUs / 1_000_000);
                    for (int second = from; second <= to; second++) {
                        if (load[second] > SUFFICIENT_LOAD) {
                            return false;
                        }
                    }
                    return true;
                })
                .count();
        return withinRateLimit.isEmpty() ? 0 : (double) wrongful / withinRateLimit.size();
    }

    // For each second, the decode time (for the share of memory or batch slots) or the prefill time that was requested
    // in the last 10 s, divided by the available time; the higher of the two ratios.
    private static double[] loadPerSecond(ReplayRun.Result run, List<Request> withinRateLimit) {
        int seconds = 1
                + (int) withinRateLimit.stream()
                        .mapToLong(r -> r.arrival.timeMs() / 1_000)
                        .max()
                        .orElse(0);
        CostModel model = CostModel.of(run.trace().deployment());
        double[] decodeMs = new double[seconds];
        double[] prefillMs = new double[seconds];
        for (Request request : withinRateLimit) {
            int second = (int) (request.arrival.timeMs() / 1_000);
            decodeMs[second] += decodeMs(model, request.arrival);
            prefillMs[second] += CostModel.prefillUs(request.arrival.promptTokens()) / 1_000.0;
        }
        double[] load = new double[seconds];
        int windowSeconds = (int) (WINDOW_MS / 1_000);
        for (int second = 0; second < seconds; second++) {
            double decode = 0;
            double prefill = 0;
            for (int i = Math.max(0, second - windowSeconds + 1); i <= second; i++) {
                decode += decodeMs[i];
                prefill += prefillMs[i];
            }
            load[second] = Math.max(
                    decode / (WINDOW_MS * servers(run.trace(), Role.DECODE, second * 1_000L)),
                    prefill / (WINDOW_MS * servers(run.trace(), Role.PREFILL, second * 1_000L)));
        }
        return load;
    }

    // Work of a request, as the time for which it would occupy a whole decode engine.
    private static double decodeMs(CostModel model, Arrival arrival) {
        return model.decodeShare(arrival) * arrival.outputTokens() * CostModel.WARM_STEP_MS;
    }

    private static long servers(Trace trace, Role role, long timeMs) {
        FailureDomain out = null;
        for (Fault fault : trace.faults()) {
            if (fault.timeMs() <= timeMs && fault.type() == FaultType.OUT) {
                out = FailureDomain.of(fault.target());
            } else if (fault.timeMs() + WARM_UP_MS <= timeMs && fault.type() == FaultType.IN) {
                out = null;
            }
        }
        FailureDomain absent = out;
        return trace.servers().stream()
                .filter(s -> s.role() == role && !s.domain().equals(absent))
                .count();
    }

    // Share of good requests, divided by the share of the requested interactive work that the servers can process. In
    // each interval of 10 s they can process the requested work as far as memory and time suffice beside the guaranteed
    // share of batch work. Work in excess of that is not deferred to the next interval.
    private static double feasibleRatio(ReplayRun.Result run, List<Request> interactive, Window window) {
        Trace trace = run.trace();
        List<Request> batch = select(run, RequestKind.BATCH);
        double decodeServers = servers(trace, Role.DECODE, window.fromMs());
        double prefillServers = servers(trace, Role.PREFILL, window.fromMs());
        double requestedMs = 0;
        double feasibleMs = 0;
        for (long fromMs = window.fromMs(); fromMs < window.toMs(); fromMs += WINDOW_MS) {
            Window interval = new Window("interval", fromMs, fromMs + WINDOW_MS);
            EngineTime interactiveWork = EngineTime.of(trace, interactive, interval);
            EngineTime batchWork = EngineTime.of(trace, batch, interval);
            double share = Math.min(
                    share(WINDOW_MS * decodeServers, batchWork.decodeMs(), interactiveWork.decodeMs()),
                    share(WINDOW_MS * prefillServers, batchWork.prefillMs(), interactiveWork.prefillMs()));
            requestedMs += interactiveWork.decodeMs();
            feasibleMs += interactiveWork.decodeMs() * Math.min(1, share);
        }
        return goodShare(interactive, window) * requestedMs / Math.max(1, feasibleMs);
    }

    private static double share(double capacityMs, double batchMs, double requestedMs) {
        double remainingMs = capacityMs - Math.min(batchMs, FairQueue.DEFAULT_BATCH_SHARE * capacityMs);
        return remainingMs / Math.max(1, requestedMs);
    }

    /** Work of requests, as time of whole engines; immutable. */
    private record EngineTime(double decodeMs, double prefillMs) {
        static EngineTime of(Trace trace, List<Request> requests, Window window) {
            CostModel model = CostModel.of(trace.deployment());
            double decodeMs = 0;
            double prefillMs = 0;
            for (Request request : requests) {
                if (window.contains(request.arrival.timeMs())) {
                    decodeMs += Score.decodeMs(model, request.arrival);
                    prefillMs += CostModel.prefillUs(request.arrival.promptTokens()) / 1_000.0;
                }
            }
            return new EngineTime(decodeMs, prefillMs);
        }
    }
}
