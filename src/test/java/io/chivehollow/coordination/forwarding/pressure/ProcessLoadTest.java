package io.chivehollow.coordination.forwarding.pressure;

import java.util.concurrent.TimeUnit;

import io.chivehollow.settings.ProcessLimits;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a process that counts as overloaded on a machine that has room, or not on one that has none. */
public class ProcessLoadTest {

    private static final int TARGET_MS = 145;
    private static final ProcessLimits SMALL = new ProcessLimits(0.204, 266, 2_212, 5.25);

    private long nowNanos;

    private ProcessLoad load(ProcessLimits limits) {
        nowNanos = 0;
        return ProcessLoad.create(limits, nowNanos);
    }

    private void tick(ProcessLoad load, int times, long bytes, int connections, long lateMs) {
        for (int i = 0; i < times; i++) {
            load.onLinkBytes(bytes);
            nowNanos += TimeUnit.MILLISECONDS.toNanos(ProcessLoad.TICK_MS + lateMs);
            load.onTick(nowNanos, connections, TARGET_MS);
            load.measureDelay();
        }
    }

    @Test
    public void withoutLimitsNothingIsScarce() {
        ProcessLoad load = load(ProcessLimits.unknown());
        tick(load, 10, 1 << 30, 1_000_000, 90);
        assertTrue(load.use(load.scarcest()) < 1);
        assertFalse(load.areDescriptorsShort());
        assertEquals(load.delayMs(), 90, 1);
    }

    /** A link of 5.25 Mbit/s carries 131 kB in a tick of 200 ms. */
    @Test
    public void fullLinkIsScarce() {
        ProcessLoad load = load(SMALL);
        tick(load, 20, 100_000, 0, 0);
        assertTrue(load.use(Resource.LINK) < 1);
        tick(load, 20, 130_000, 0, 0);
        assertTrue(load.use(Resource.LINK) > 1);
        assertEquals(load.scarcest(), Resource.LINK);
    }

    @Test
    public void descriptorsRunShortBeforeTheyRunOut() {
        ProcessLoad load = load(SMALL);
        tick(load, 1, 0, 1_700, 0);
        assertFalse(load.areDescriptorsShort());
        tick(load, 1, 0, 1_800, 0);
        assertTrue(load.areDescriptorsShort());
        assertTrue(load.use(Resource.DESCRIPTORS) < 1);
        tick(load, 1, 0, 1_900, 0);
        assertTrue(load.use(Resource.DESCRIPTORS) > 1);
    }

    /** A process with a fifth of a processor may stand still for 80 ms of each 100 ms. */
    @Test
    public void pauseBetweenTwoPartsOfTheProcessorShareIsNoOverload() {
        ProcessLoad small = load(SMALL);
        tick(small, 10, 0, 0, 80);
        assertTrue(small.use(Resource.PROCESSOR) < 1);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ProcessLoad.TICK_MS);
        for (int i = 0; i < 10; i++) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
            small.onEvent(nowNanos);
            small.measureDelay();
        }
        assertTrue(small.use(Resource.PROCESSOR) > 1);
        ProcessLoad whole = load(new ProcessLimits(0.96, 258, 4_100, 100));
        tick(whole, 10, 0, 0, 60);
        assertTrue(whole.use(Resource.PROCESSOR) > 1);
    }
}
