package io.chivehollow.coordination.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static io.chivehollow.coordination.placement.PlacementRequest.Phase.DECODE;
import static io.chivehollow.coordination.placement.PlacementRequest.Phase.PREFILL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against invalid rankings, and against the choice of unsuitable backend servers. */
public class PlacementPolicyTest {

    private static final TwoChoicesPolicy TWO_CHOICES = TwoChoicesPolicy.create(new TwoChoicesConfig(3, 0.02, 1));

    private static Candidate candidate(int id, int free, int running, long queuedMs, boolean draining, int cached) {
        Load load = new Load(free, 120, running, 0, queuedMs, 20, false, draining);
        return new Candidate(BackendServerId.of("s" + id), FailureDomain.of("d" + id % 3), load, 10, cached);
    }

    @DataProvider
    public Object[][] policies() {
        return new Object[][] {
            {TWO_CHOICES},
            {RoundRobinPolicy.create()},
            {LeastReportedLoadPolicy.create()},
            {TwoRandomChoicesPolicy.create()}
        };
    }

    /** Guards against rankings with duplicate or foreign candidates, and against failures with few candidates. */
    @Test(dataProvider = "policies")
    public void rankingContainsEachCandidateAtMostOnce(PlacementPolicy policy) {
        Random random = new Random(7);
        for (int size = 0; size < 12; size++) {
            List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                candidates.add(candidate(i, random.nextInt(120), random.nextInt(20), random.nextInt(500), false, 0));
            }
            List<Candidate> ranking = policy.rank(new PlacementRequest(DECODE, 4_000, 1), candidates, random);
            assertEquals(new HashSet<>(ranking).size(), ranking.size());
            assertTrue(candidates.containsAll(ranking));
            assertEquals(ranking.isEmpty(), size == 0);
        }
    }

    /** Guards against requests to a draining backend server, and against more attempts than configured. */
    @Test
    public void drainingCandidateIsNotRanked() {
        Random random = new Random(7);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            candidates.add(candidate(i, 100, 1, 0, i % 2 == 0, 0));
        }
        for (int i = 0; i < 1_000; i++) {
            List<Candidate> ranking = TWO_CHOICES.rank(new PlacementRequest(DECODE, 4_000, 1), candidates, random);
            assertEquals(ranking.size(), 3);
            assertTrue(ranking.stream().noneMatch(c -> c.load().draining()));
        }
    }

    /** Guards against prefix affinity that is ignored, or that accepts a longer queue time than the cache saves. */
    @Test
    public void cachedPrefixIsWeighedAgainstQueuedWork() {
        Random random = new Random(7);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            candidates.add(candidate(i, 100, 1, 50, false, 0));
        }
        PlacementRequest request = new PlacementRequest(PREFILL, 10_000, 0);
        candidates.set(0, candidate(0, 100, 1, 200, false, 10_000));
        assertEquals(TWO_CHOICES.rank(request, candidates, random).get(0), candidates.get(0));
        candidates.set(0, candidate(0, 100, 1, 300, false, 10_000));
        assertTrue(!TWO_CHOICES.rank(request, candidates, random).get(0).equals(candidates.get(0)));
    }

    /** Guards against a first attempt at a decode server without free memory while another server has capacity. */
    @Test
    public void candidateWithoutCapacityIsRankedLast() {
        Random random = new Random(7);
        List<Candidate> candidates = List.of(candidate(0, 2, 1, 0, false, 0), candidate(1, 60, 19, 0, false, 0));
        List<Candidate> ranking = TWO_CHOICES.rank(new PlacementRequest(DECODE, 10_000, 3), candidates, random);
        assertEquals(ranking, List.of(candidates.get(1), candidates.get(0)));
    }
}
