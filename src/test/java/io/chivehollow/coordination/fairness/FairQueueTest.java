package io.chivehollow.coordination.fairness;

import java.util.Random;

import io.chivehollow.base.TeamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static io.chivehollow.coordination.fairness.Priority.BATCH;
import static io.chivehollow.coordination.fairness.Priority.INTERACTIVE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Guards against unfair shares among teams and service classes in {@link FairQueue}. */
public class FairQueueTest {

    private static final TeamId A = TeamId.of("a");
    private static final TeamId B = TeamId.of("b");

    private record Item(TeamId team, Priority priority, long cost, long number) {}

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /**
     * Guards against a team that receives more than its share in any interval in which two teams have queued items: the
     * normalized service may differ by at most the cost of one item of each, while other teams and batch work arrive at
     * random.
     */
    @Test(dataProvider = "seeds")
    public void serviceOfBusyTeamsStaysWithinTheBound(long seed) {
        Random random = new Random(seed);
        FairQueue<Item> queue = FairQueue.create();
        int[] weights = {1, 4};
        TeamId[] busy = {A, B};
        double[] service = new double[2];
        double[] maxCost = new double[2];
        double low = 0;
        double high = 0;
        long number = 0;
        for (int step = 0; step < 20_000; step++) {
            for (int i = 0; i < 2; i++) {
                while (queue.waiting(busy[i]) < 3) {
                    long cost = 1 + random.nextInt(30_000);
                    queue.add(busy[i], weights[i], INTERACTIVE, cost, new Item(busy[i], INTERACTIVE, cost, number++));
                    maxCost[i] = Math.max(maxCost[i], (double) cost / weights[i]);
                }
            }
            if (random.nextInt(3) == 0) {
                TeamId other = TeamId.of("other" + random.nextInt(3));
                Priority priority = random.nextBoolean() ? INTERACTIVE : BATCH;
                long cost = 1 + random.nextInt(60_000);
                queue.add(other, 1 + random.nextInt(3), priority, cost, new Item(other, priority, cost, number++));
            }
            Item item = queue.poll().orElseThrow();
            for (int i = 0; i < 2; i++) {
                service[i] += item.team().equals(busy[i]) ? (double) item.cost() / weights[i] : 0;
            }
            // The largest change of the difference over any interval equals the range of its values.
            low = Math.min(low, service[0] - service[1]);
            high = Math.max(high, service[0] - service[1]);
            assertTrue(high - low <= maxCost[0] + maxCost[1] + 1e-3, "seed " + seed + " step " + step);
        }
    }

    /** Guards against batch work that is starved by interactive work or receives more than its share. */
    @Test(dataProvider = "seeds")
    public void batchWorkGetsItsShareAndNoMore(long seed) {
        Random random = new Random(seed);
        FairQueue<Item> queue = FairQueue.create(0.1);
        double batch = 0;
        double total = 0;
        for (int step = 0; step < 20_000; step++) {
            for (Priority priority : Priority.values()) {
                long cost = 1 + random.nextInt(10_000);
                queue.add(A, 1, priority, cost, new Item(A, priority, cost, 2L * step + priority.ordinal()));
            }
            Item item = queue.poll().orElseThrow();
            total += item.cost();
            batch += item.priority() == BATCH ? item.cost() : 0;
            assertTrue(batch >= 0.1 * total - 20_000, "starved at step " + step + ", seed " + seed);
            assertTrue(batch <= 0.1 * total + 20_000, "did not yield at step " + step + ", seed " + seed);
        }
    }

    /** Guards against an idle team that accumulates credit and then displaces other teams. */
    @Test
    public void idleTeamAccumulatesNoCredit() {
        FairQueue<Integer> queue = FairQueue.create();
        for (int i = 0; i < 1_000; i++) {
            queue.add(A, 1, INTERACTIVE, 10, i);
        }
        for (int i = 0; i < 500; i++) {
            queue.poll();
        }
        for (int i = 1_000; i < 1_100; i++) {
            queue.add(B, 1, INTERACTIVE, 10, i);
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            served += queue.poll().orElseThrow() >= 1_000 ? 1 : 0;
        }
        assertTrue(served >= 49 && served <= 51, "served " + served);
    }

    /** Guards against a team that gains service through requests whose output is longer than predicted. */
    @Test
    public void adjustedChargeCountsAgainstTheTeam() {
        FairQueue<String> queue = FairQueue.create();
        for (int i = 0; i < 4; i++) {
            queue.add(A, 1, INTERACTIVE, 10, "a" + i);
            queue.add(B, 1, INTERACTIVE, 10, "b" + i);
        }
        assertEquals(queue.poll().orElseThrow(), "a0");
        queue.correct(A, 20);
        assertEquals(queue.poll().orElseThrow(), "b0");
        assertEquals(queue.poll().orElseThrow(), "b1");
        assertEquals(queue.poll().orElseThrow(), "b2");
    }

    /** Guards against a late adjustment that ignores the weight of a team that has become idle in the meantime. */
    @Test
    public void adjustedChargeOfAnIdleTeamIsDividedByItsWeight() {
        FairQueue<String> queue = FairQueue.create();
        queue.add(A, 10, INTERACTIVE, 10, "a0");
        for (int i = 0; i < 40; i++) {
            queue.add(B, 10, INTERACTIVE, 10, "b" + i);
        }
        for (int i = 0; i < 21; i++) {
            queue.poll();
        }
        // A was charged 10 and B 200; after the adjustment A is charged 160, still less than B.
        queue.correct(A, 150);
        queue.add(A, 10, INTERACTIVE, 10, "a1");
        assertEquals(queue.poll().orElseThrow(), "a1");
    }

    /** Guards against removed items that are still served or counted, and against peek and poll that disagree. */
    @Test
    public void removedItemIsNeitherServedNorCounted() {
        FairQueue<String> queue = FairQueue.create();
        queue.add(A, 1, INTERACTIVE, 10, "a");
        queue.add(B, 1, BATCH, 10, "b");
        assertThrows(IllegalArgumentException.class, () -> queue.add(A, 1, BATCH, 10, "a"));
        assertTrue(queue.remove("a"));
        assertFalse(queue.remove("a"));
        assertEquals(queue.size(), 1);
        assertEquals(queue.waiting(A), 0);
        assertEquals(queue.peek(), queue.poll());
        assertTrue(queue.poll().isEmpty());
    }
}
