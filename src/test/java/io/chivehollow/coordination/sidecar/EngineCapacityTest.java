package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.Clock;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.settings.SidecarSettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a cold start ramp that falls back because of a full batch on a warm engine, or that rises because of
 * requests from before its last fallback.
 */
public class EngineCapacityTest {

    private static final int SERVICE_MS = 50;

    private long nowMs;

    private EngineCapacity capacity() {
        Clock clock = new Clock() {
            @Override
            public long nanoTime() {
                return nowMs * 1_000_000;
            }

            @Override
            public long currentTimeMs() {
                return nowMs;
            }
        };
        SidecarOptions options = new SidecarOptions(
                BackendServerId.of("server"),
                FailureDomain.of("domain"),
                SidecarSettings.BackendKind.PREFILL,
                64,
                4096,
                1,
                new RampConfig(16, SERVICE_MS, 0.001),
                800,
                1,
                1,
                1,
                1);
        return new EngineCapacity(options, clock, true);
    }

    private void warmUp(EngineCapacity capacity) {
        while (capacity.isCold()) {
            long startedMs = nowMs;
            nowMs += SERVICE_MS;
            capacity.onPrefilled(startedMs, 10);
        }
    }

    @Test
    public void fullBatchOfPrefillsKeepsTheLimit() {
        EngineCapacity capacity = capacity();
        warmUp(capacity);
        long startedMs = nowMs;
        for (int i = 0; i < 16; i++) {
            nowMs += SERVICE_MS;
            capacity.onPrefilled(startedMs, 10);
        }
        assertEquals(capacity.slotLimit(), 16);
    }

    @Test
    public void slowPrefillResetsTheLimit() {
        EngineCapacity capacity = capacity();
        warmUp(capacity);
        long startedMs = nowMs;
        nowMs += 4 * SERVICE_MS;
        capacity.onPrefilled(startedMs, 10);
        assertEquals(capacity.slotLimit(), 1);
    }

    @Test
    public void requestsStartedBeforeAFallbackDoNotRaiseTheLimit() {
        EngineCapacity capacity = capacity();
        warmUp(capacity);
        long startedMs = nowMs;
        nowMs += 1;
        capacity.onFailure();
        for (int i = 0; i < 16; i++) {
            nowMs += 1;
            capacity.onPrefilled(startedMs, 10);
        }
        assertEquals(capacity.slotLimit(), 1);
    }

    /** Guards against a team that fills the memory while another needs it, and released memory that still counts. */
    @Test
    public void teamAboveItsShareIsRefusedUntilMemoryIsReleased() {
        EngineCapacity capacity = capacity();
        warmUp(capacity);
        TeamId large = TeamId.of("large");
        TeamId small = TeamId.of("small");
        assertTrue(capacity.mayReserve(small, 1, Priority.INTERACTIVE, 1));
        List<Lease> leases = new ArrayList<>();
        while (capacity.mayReserve(large, 1, Priority.INTERACTIVE, 1)) {
            RequestId id = RequestId.of("r" + leases.size());
            Lease lease = capacity.tryReserve(id, 1, 1).orElseThrow();
            capacity.onReserved(lease, large, Priority.INTERACTIVE, 1);
            leases.add(lease);
        }
        assertTrue(leases.size() < 16, "the large team reserved all slots: " + leases.size());
        assertTrue(capacity.mayReserve(small, 1, Priority.INTERACTIVE, 1));
        capacity.release(leases.get(0));
        assertTrue(capacity.mayReserve(large, 1, Priority.INTERACTIVE, 1));
        capacity.onEngineRestart();
        assertTrue(capacity.mayReserve(large, 1, Priority.INTERACTIVE, 1));
    }
}
