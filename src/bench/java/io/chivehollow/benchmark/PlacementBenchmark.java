package io.chivehollow.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.coordination.placement.TwoChoicesConfig;
import io.chivehollow.coordination.placement.TwoChoicesPolicy;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time and the memory allocation of one placement decision. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {

    @Param({"11", "600"})
    private int servers;

    @Param({"PREFILL", "DECODE"})
    private PlacementRequest.ServerRole phase = PlacementRequest.ServerRole.PREFILL;

    private final PlacementPolicy policy = TwoChoicesPolicy.create(new TwoChoicesConfig(3, 0.02, 1));
    private final RandomGenerator random = new SplittableRandom(1);
    private List<Candidate> candidates = List.of();
    private PlacementRequest request = new PlacementRequest(phase, 4_000, 1);

    /** Creates candidates with random loads; one in ten has part of the prompt cached. */
    @Setup
    public void setUp() {
        Random loads = new Random(1);
        candidates = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            Load load = new Load(
                    loads.nextInt(36), 36, loads.nextInt(20), loads.nextInt(5), loads.nextInt(500), 20, false, false);
            int cachedTokens = loads.nextInt(10) == 0 ? loads.nextInt(4_000) : 0;
            FailureDomain domain = FailureDomain.of("domain-" + i % 3);
            candidates.add(
                    new Candidate(BackendServerId.of("server-" + i), domain, load, loads.nextInt(500), cachedTokens));
        }
        request = new PlacementRequest(phase, 4_000, 1);
    }

    /** Ranks the candidates for one request. */
    @Benchmark
    public List<Candidate> rank() {
        return policy.rank(request, candidates, random);
    }
}
