package io.chivehollow.coordination.memory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.chivehollow.base.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests of the accounting of {@link BlockLedger}. */
public class BlockLedgerTest {

    private static final int TOTAL = 120;

    private record ExpectedGrant(long owner, int blocks) {}

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Guards against lost or doubly counted blocks: compares the ledger with a model after each random operation. */
    @Test(dataProvider = "seeds")
    public void blockCountsMatchTheModelUnderRandomOperations(long seed) {
        Random random = new Random(seed);
        BlockLedger ledger = BlockLedger.create(TOTAL);
        Map<RequestId, ExpectedGrant> model = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            RequestId request = RequestId.of("r" + random.nextInt(40));
            int blocks = 1 + random.nextInt(12);
            long owner = random.nextInt(4);
            int free = TOTAL
                    - model.values().stream().mapToInt(ExpectedGrant::blocks).sum();
            switch (random.nextInt(20)) {
                case 0 -> {
                    List<RequestId> released = ledger.releaseOwner(owner);
                    long expected = model.values().stream()
                            .filter(grant -> grant.owner() == owner)
                            .count();
                    assertEquals(released.size(), expected, "seed " + seed);
                    released.forEach(model::remove);
                }
                case 1, 2, 3, 4, 5, 6 -> {
                    ExpectedGrant expectedGrant = model.remove(request);
                    assertEquals(
                            ledger.release(request),
                            expectedGrant == null ? 0 : expectedGrant.blocks(),
                            "seed " + seed);
                }
                case 7, 8, 9 -> {
                    ExpectedGrant expectedGrant = model.get(request);
                    boolean expected = expectedGrant != null && blocks <= free;
                    assertEquals(ledger.tryExtend(request, blocks), expected, "seed " + seed);
                    if (expected) {
                        model.put(request, new ExpectedGrant(expectedGrant.owner(), expectedGrant.blocks() + blocks));
                    }
                }
                default -> {
                    boolean expected = !model.containsKey(request) && blocks <= free;
                    assertEquals(ledger.tryGrant(request, owner, blocks), expected, "seed " + seed);
                    if (expected) {
                        model.put(request, new ExpectedGrant(owner, blocks));
                    }
                }
            }
            int used = model.values().stream().mapToInt(ExpectedGrant::blocks).sum();
            assertEquals(ledger.freeBlocks(), TOTAL - used, "seed " + seed + " step " + step);
            assertEquals(ledger.grantCount(), model.size());
        }
        ledger.clear();
        assertEquals(ledger.freeBlocks(), TOTAL);
        assertTrue(ledger.releaseOwner(0).isEmpty());
    }

    /** Guards against a refused grant or extension that changes the number of free blocks. */
    @Test
    public void refusedGrantOrExtensionChangesNothing() {
        BlockLedger ledger = BlockLedger.create(10);
        assertTrue(ledger.tryGrant(RequestId.of("a"), 1, 8));
        assertFalse(ledger.tryGrant(RequestId.of("b"), 1, 3));
        assertFalse(ledger.tryExtend(RequestId.of("a"), 3));
        assertFalse(ledger.tryGrant(RequestId.of("a"), 2, 1));
        assertEquals(ledger.freeBlocks(), 2);
        assertEquals(ledger.releaseOwner(1), List.of(RequestId.of("a")));
        assertEquals(ledger.freeBlocks(), 10);
    }

    /** Guards against rounding down, which would grant fewer blocks than the engine uses. */
    @Test
    public void partialBlockCountsAsOne() {
        assertEquals(BlockLedger.blocksFor(4_096, 4_096), 1);
        assertEquals(BlockLedger.blocksFor(4_097, 4_096), 2);
    }
}
