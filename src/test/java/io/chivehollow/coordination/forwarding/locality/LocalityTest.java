package io.chivehollow.coordination.forwarding.locality;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.FailureDomain;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Guards against bytes that leave uncounted, and against transfers that are not worth their bytes. */
public class LocalityTest {

    private static final FailureDomain HOME = FailureDomain.of("home");
    private static final FailureDomain OTHER = FailureDomain.of("other");
    private static final long MS = 1_000_000;

    /** 18 KB per token at 144 Gbit/s: 1 ms for 1,000 tokens. */
    private static final ServiceFigures FIGURES = new ServiceFigures(800, 18_000, 144_000);

    private long nowNanos;
    private MetricRegistry registry = new MetricRegistry();
    private Locality locality = Locality.off();

    @BeforeMethod
    public void start() {
        nowNanos = 5 * MS;
        registry = new MetricRegistry();
        locality = create(LocalityLimits.UNLIMITED);
        locality.links().onHeard(OTHER, nowNanos);
    }

    private Locality create(LocalityLimits limits) {
        return Locality.create(HOME, limits, service -> FIGURES, registry);
    }

    private long count(String name) {
        return registry.counter("forwarding.locality." + name).getCount();
    }

    @Test
    public void requestsThatLeaveAreCountedWithReasonAndBytes() {
        List<DomainOption> options = List.of(new DomainOption(HOME, 500), new DomainOption(OTHER, 10));
        assertEquals(locality.choose("s", options, false, nowNanos).orElseThrow(), OTHER);
        assertEquals(locality.onSent("s", OTHER, false, 5_000, nowNanos), "home_slow");
        locality.onResponseBytes(OTHER, 700, nowNanos);
        assertNull(locality.onSent("s", HOME, false, 5_000, nowNanos));
        locality.onResponseBytes(HOME, 700, nowNanos);
        assertEquals(count("left.home_slow"), 1);
        assertEquals(count("bytes.request"), 5_000);
        assertEquals(count("bytes.response"), 700);
        double share = (double)
                registry.getGauges().get("forwarding.locality.share_sent.s").getValue();
        assertTrue(share > 0 && share < 0.05, "share " + share);
    }

    /** The prompt of a run that leaves is a second request, which must not count as another one that leaves. */
    @Test
    public void promptsOfRunsCountAsBytesOnly() {
        assertNull(locality.onSent("s", OTHER, true, 5_000, nowNanos));
        assertEquals(count("bytes.request"), 5_000);
        assertTrue(registry.getGauges().isEmpty());
    }

    @Test
    public void transferCostFollowsTheSizeOfThePromptAndTheBudget() {
        locality = create(new LocalityLimits(0, 100_000_000, 0));
        double thousandMs = locality.transferCostMs("s", 1_000, nowNanos);
        assertEquals(locality.transferCostMs("s", 5_000, nowNanos) - thousandMs, 4, 1e-6);
        locality.onTransfer("s", HOME, HOME, 5_000, nowNanos);
        assertEquals(count("bytes.kv_cache"), 0);
        locality.onTransfer("s", OTHER, HOME, 5_000, nowNanos);
        assertEquals(count("bytes.kv_cache"), 90_000_000);
        assertEquals(locality.transferCostMs("s", 5_000, nowNanos), Double.POSITIVE_INFINITY);
        nowNanos += 1_000 * MS;
        assertTrue(Double.isFinite(locality.transferCostMs("s", 5_000, nowNanos)));
    }

    @Test
    public void costFollowsTheLinkOfTheInstance() {
        locality = create(new LocalityLimits(0, 0, 8));
        locality.links().onHeard(OTHER, nowNanos);
        locality.links().onConnected(HOME, 1, nowNanos);
        locality.links().onConnected(OTHER, 3.8, nowNanos);
        assertEquals(locality.cost().leavingMs(HOME, 10_000, nowNanos), 0.0);
        assertEquals(locality.cost().leavingMs(OTHER, 10_000, nowNanos), 12.8, 1e-6);
    }

    @Test
    public void withoutSettingsNothingIsRecorded() {
        assertNull(Locality.off().onSent("s", OTHER, false, 5_000, nowNanos));
        assertEquals(Locality.off().cost().leavingMs(OTHER, 10_000, nowNanos), 0.0);
    }
}
