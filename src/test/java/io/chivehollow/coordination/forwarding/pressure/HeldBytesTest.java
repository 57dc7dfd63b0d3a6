package io.chivehollow.coordination.forwarding.pressure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.chivehollow.coordination.forwarding.pressure.HeldBytes.Kind;
import io.chivehollow.settings.ProcessLimits;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against bytes that are added or subtracted twice, so that the bound is reached too early or never. */
public class HeldBytesTest {

    private static final long MB = 1 << 20;
    private static final long LIMIT_BYTES = 1_000;

    private final HeldBytes held = HeldBytes.create(LIMIT_BYTES);

    @Test
    public void totalIsTheSumOfTheOpenAccountsAfterAnyCalls() {
        HeldBytes total = HeldBytes.create(LIMIT_BYTES);
        Random random = new Random(7);
        List<HeldBytes.Account> open = new ArrayList<>();
        for (int step = 0; step < 10_000; step++) {
            if (open.isEmpty() || random.nextInt(10) == 0) {
                open.add(total.open());
            }
            HeldBytes.Account account = open.get(random.nextInt(open.size()));
            if (random.nextInt(20) == 0) {
                account.close();
                account.close();
                account.set(Kind.RESPONSE, 5);
                open.remove(account);
            } else {
                account.set(Kind.values()[random.nextInt(3)], random.nextInt(100));
            }
            long expected =
                    open.stream().mapToLong(HeldBytes.Account::totalBytes).sum();
            assertEquals(total.totalBytes(), expected);
        }
        open.forEach(HeldBytes.Account::close);
        assertEquals(total.totalBytes(), 0);
        for (Kind kind : Kind.values()) {
            assertEquals(total.bytes(kind), 0);
        }
    }

    @Test
    public void levelFollowsTheShareOfTheBound() {
        HeldBytes.Account account = held.open();
        assertEquals(held.level(), HeldBytes.Level.AMPLE);
        account.set(Kind.REQUEST, 251);
        assertEquals(held.level(), HeldBytes.Level.LIMITED);
        account.set(Kind.RESPONSE, 500);
        assertEquals(held.level(), HeldBytes.Level.SCARCE);
        assertTrue(held.hasRoomFor(149));
        assertFalse(held.hasRoomFor(150));
        account.set(Kind.SERVER, 150);
        assertEquals(held.level(), HeldBytes.Level.EXCEEDED);
        account.close();
        assertEquals(held.level(), HeldBytes.Level.AMPLE);
        assertEquals(held.maxTotalBytes(), 901);
    }

    /** A heap of 96 MB in 258 MB, as in deploy/system.toml. */
    @Test
    public void boundLeavesRoomInTheHeapAndBesideIt() {
        assertEquals(MemoryBound.limitBytes(96 * MB, ProcessLimits.unknown()), 24 * MB);
        long bound = MemoryBound.limitBytes(96 * MB, new ProcessLimits(0, 230, 0, 0));
        assertEquals(bound, 12 * MB);
        assertEquals(MemoryBound.limitBytes(96 * MB, new ProcessLimits(0, 150, 0, 0)), 10 * MB);
    }
}
