package io.chivehollow.coordination.loads;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.chivehollow.coordination.budget.LendingPeriod;
import io.chivehollow.coordination.simulation.Seeds;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against more concurrent loads from the weight store than the limit, in particular after a change of leader,
 * and against loads that wait forever because an unresponsive holder keeps its permit.
 */
@Test(singleThreaded = true)
public class WeightLoadScheduleTest {

    private static final int SEEDS = 300;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final LendingPeriod FIRST = new LendingPeriod(1, -10 * SECOND_NANOS);

    private WeightLoadSchedule schedule;

    @BeforeMethod
    public void start() {
        schedule = WeightLoadSchedule.create(1);
    }

    @Test
    public void permitsAreGrantedInTheOrderOfWaitingTime() {
        assertEquals(reportWaiting("a", 0), 0);
        assertEquals(reportWaiting("b", 1), 1);
        assertEquals(schedule.report("c", WeightLoadStage.WAITING, 5 * SECOND_NANOS, FIRST, 2 * SECOND_NANOS), 1);
        assertEquals(reportWaiting("b", 3), 2);
        assertEquals(schedule.report("a", WeightLoadStage.ENDED, 0, FIRST, 4 * SECOND_NANOS), 0);
        assertEquals(reportWaiting("b", 4), 2);
        assertEquals(schedule.report("c", WeightLoadStage.WAITING, 7 * SECOND_NANOS, FIRST, 4 * SECOND_NANOS), 0);
    }

    @Test
    public void loadsOfUnresponsiveHoldersExpire() {
        assertEquals(reportWaiting("a", 0), 0);
        assertEquals(reportWaiting("b", 0), 1);
        assertEquals(reportWaiting("c", 59), 1);
        assertEquals(reportWaiting("c", 61), 0);
    }

    private int reportWaiting(String permit, int second) {
        return schedule.report(permit, WeightLoadStage.WAITING, 0, FIRST, second * SECOND_NANOS);
    }

    @Test
    public void noMoreLoadsThanTheLimitRunWhenLeadersChange() {
        Seeds.check(SEEDS, seed -> run(seed, WeightLoadSchedule::create));
    }

    @Test
    public void checkerDetectsANewLeaderThatGrantsWithoutPause() {
        Seeds.expectViolation(SEEDS, seed -> run(seed, WeightLoadSchedule::withoutPause));
    }

    /** Runs holders that report every second, with lost reports and with new leaders that start without any state. */
    private static Optional<String> run(long seed, IntFunction<WeightLoadSchedule> factory) {
        SplittableRandom random = new SplittableRandom(seed);
        int limit = random.nextInt(1, 4);
        WeightLoadSchedule leader = factory.apply(limit);
        LendingPeriod period = new LendingPeriod(1, 0);
        Map<String, Integer> sinceSecond = new HashMap<>();
        Map<String, Integer> untilSecond = new HashMap<>();
        for (int second = 0; second < 400; second++) {
            if (random.nextInt(20) == 0) {
                leader = factory.apply(limit);
                period = new LendingPeriod(period.term() + 1, second * SECOND_NANOS);
            }
            if (random.nextInt(4) == 0 && sinceSecond.size() < 8) {
                sinceSecond.put("load-" + second, second);
            }
            for (String permit : shuffled(sinceSecond.keySet(), random)) {
                Integer endSecond = untilSecond.get(permit);
                boolean isLost = random.nextInt(20) == 0;
                if (endSecond != null && endSecond <= second) {
                    untilSecond.remove(permit);
                    sinceSecond.remove(permit);
                    leader.report(permit, WeightLoadStage.ENDED, 0, period, second * SECOND_NANOS);
                } else if (!isLost) {
                    WeightLoadStage stage = endSecond == null ? WeightLoadStage.WAITING : WeightLoadStage.LOADING;
                    long waitedNanos = (second - sinceSecond.get(permit)) * SECOND_NANOS;
                    int position = leader.report(permit, stage, waitedNanos, period, second * SECOND_NANOS);
                    if (position == 0 && endSecond == null) {
                        untilSecond.put(permit, second + random.nextInt(1, 30));
                    }
                }
            }
            if (untilSecond.size() > limit) {
                return Optional.of(untilSecond.size() + " concurrent loads, limit " + limit + ", in second " + second);
            }
        }
        return Optional.empty();
    }

    private static List<String> shuffled(Iterable<String> permits, SplittableRandom random) {
        List<String> result = new ArrayList<>();
        permits.forEach(permit -> result.add(random.nextInt(result.size() + 1), permit));
        return result;
    }
}
