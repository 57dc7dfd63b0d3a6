package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.placement.LeastReportedLoadPolicy;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.RoundRobinPolicy;
import io.chivehollow.coordination.placement.TwoChoicesConfig;
import io.chivehollow.coordination.placement.TwoChoicesPolicy;
import io.chivehollow.coordination.placement.TwoRandomChoicesPolicy;
import io.chivehollow.replay.Request.Outcome;
import io.chivehollow.replay.Trace.Arrival;
import io.chivehollow.replay.Trace.Fault;
import io.chivehollow.replay.Trace.Team;

/**
 * Runs one trace with one policy. Used by one thread.
 */
final class ReplayRun {

    static final String PRODUCT = "two-choices-confirmed";
    static final List<String> BASELINES = List.of("round-robin", "least-reported", "two-random");

    private static final double AFFINITY_WEIGHT = 1;
    private static final long END_MARGIN_US = 60_000_000;
    private static final long SAMPLE_MS = 100;
    private static final long GATEWAY_OUTAGE_US = 10_000_000;

    /** The options of a run with the {@link #PRODUCT} policy; immutable. */
    record Options(ProductRouter.Reserve reserve, double affinityWeight, ReplaySafeguards safeguards) {
        static final Options DEFAULT =
                new Options(ProductRouter.Reserve.AT_GRANT, AFFINITY_WEIGHT, ReplaySafeguards.ALL);
    }

    /** The requests of a run with their outcomes. */
    record Result(Trace trace, String policy, List<Request> requests, RunStats stats) {}

    private final VirtualClock clock = new VirtualClock();
    private final RunStats stats = new RunStats();
    private final Map<TeamId, TokenBucket> buckets = new HashMap<>();
    private final List<Request> requests = new ArrayList<>();
    private final Trace trace;
    private final String policy;
    private final Router router;
    private int lostGateway = -1;

    private ReplayRun(Trace trace, String policy, Options options) {
        this.trace = trace;
        this.policy = policy;
        CostModel model = CostModel.of(trace.deployment());
        for (Team team : trace.teams()) {
            buckets.put(team.id(), new TokenBucket(team.rateTokensPerSecond(), team.burstTokens()));
        }
        if (!policy.equals(PRODUCT)) {
            List<PlacementPolicy> policies = List.of(baseline(policy), baseline(policy), baseline(policy));
            router = new BaselineRouter(clock, model, stats, trace.servers(), policies, trace.seed());
            return;
        }
        Map<TeamId, Integer> weights = new HashMap<>();
        trace.teams().forEach(team -> weights.put(team.id(), team.weight()));
        long predictedOutputTokens = Math.round(trace.arrivals().stream()
                .filter(a -> a.outputTokens() > 0)
                .mapToInt(Arrival::outputTokens)
                .average()
                .orElse(100));
        PlacementPolicy placement = TwoChoicesPolicy.create(
                new TwoChoicesConfig(3, CostModel.PREFILL_MS_PER_TOKEN, options.affinityWeight()));
        ProductRouter.Config config = new ProductRouter.Config(
                model, weights, predictedOutputTokens, options.reserve(), options.safeguards(), placement);
        router = new ProductRouter(clock, config, stats, trace.servers(), trace.seed());
    }

    static Result run(Trace trace, String policy, Options options) {
        return new ReplayRun(trace, policy, options).run();
    }

    private static PlacementPolicy baseline(String name) {
        return switch (name) {
            case "round-robin" -> RoundRobinPolicy.create();
            case "least-reported" -> LeastReportedLoadPolicy.create();
            case "two-random" -> TwoRandomChoicesPolicy.create();
            default -> throw new IllegalArgumentException("unknown policy " + name);
        };
    }

    private Result run() {
        long endUs = 0;
        for (Arrival arrival : trace.arrivals()) {
            clock.scheduleAt(arrival.timeMs() * 1_000, () -> arrive(arrival));
            endUs = Math.max(endUs, arrival.timeMs() * 1_000);
        }
        for (Fault fault : trace.faults()) {
            clock.scheduleAt(fault.timeMs() * 1_000, () -> apply(fault));
        }
        Trace.Window peak = trace.window("peak");
        for (long timeMs = peak.fromMs(); timeMs < peak.toMs(); timeMs += SAMPLE_MS) {
            clock.scheduleAt(timeMs * 1_000, () -> stats.addOccupancy(router.decodeOccupancy()));
        }
        clock.runUntil(endUs + END_MARGIN_US);
        return new Result(trace, policy, requests, stats);
    }

    private void arrive(Arrival original) {
        // The load balancer of the platform sends callers of an unreachable gateway to the next gateway.
        Arrival arrival = original.gateway() == lostGateway ? withNextGateway(original) : original;
        Request request = new Request(arrival);
        requests.add(request);
        TokenBucket bucket = buckets.get(arrival.team());
        if (arrival.kind() != Trace.RequestKind.PLAIN && !bucket.tryAcquire(clock.nowUs(), arrival.costTokens())) {
            request.withinRateLimit = false;
            request.outcome = Outcome.RATE_LIMITED;
            return;
        }
        router.onArrival(request);
        clock.scheduleAt(request.timeoutUs(), () -> {
            if (request.firstTokenUs < 0) {
                end(request, Outcome.REFUSED);
            }
        });
        if (arrival.cancelAfterMs() >= 0) {
            clock.scheduleAfter(arrival.cancelAfterMs() * 1_000, () -> end(request, Outcome.CANCELLED));
        }
    }

    private void end(Request request, Outcome outcome) {
        if (request.isOpen()) {
            request.outcome = outcome;
            request.endedUs = clock.nowUs();
            router.onCallerDisconnected(request);
        }
    }

    private void apply(Fault fault) {
        if (fault.type() == Trace.FaultType.GATEWAY) {
            lostGateway = Integer.parseInt(fault.target());
            clock.scheduleAfter(GATEWAY_OUTAGE_US, () -> lostGateway = -1);
            for (Request request : requests) {
                if (request.isOpen() && request.arrival.gateway() == lostGateway) {
                    request.outcome = Outcome.CANCELLED;
                    request.endedUs = clock.nowUs();
                }
            }
        }
        router.onFault(fault);
    }

    private static Arrival withNextGateway(Arrival a) {
        return new Arrival(
                a.timeMs(),
                a.number(),
                a.team(),
                a.kind(),
                (a.gateway() + 1) % TraceGenerator.GATEWAYS,
                a.promptTokens(),
                a.outputTokens(),
                a.prefixGroup(),
                a.prefixTokens(),
                a.cancelAfterMs());
    }

    /** The rate limit of a team. It applies to all policies, so that they serve the same requests. */
    private static final class TokenBucket {
        private final double ratePerUs;
        private final double burst;
        private double level;
        private long updatedUs;

        TokenBucket(long ratePerSecond, long burst) {
            this.ratePerUs = ratePerSecond / 1e6;
            this.burst = burst;
            this.level = burst;
        }

        boolean tryAcquire(long nowUs, long tokens) {
            level = Math.min(burst, level + (nowUs - updatedUs) * ratePerUs);
            updatedUs = nowUs;
            // A request is admitted while any tokens are left. A gateway preserves the order of a team's requests. If
            // only requests that fit the remaining tokens were admitted, short requests would overtake long ones and
            // change the mix.
            if (level <= 0) {
                return false;
            }
            level -= tokens;
            return true;
        }
    }
}
