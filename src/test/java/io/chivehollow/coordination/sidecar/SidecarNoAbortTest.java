package io.chivehollow.coordination.sidecar;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against memory that stays reserved forever when the engine has no abort endpoint. */
public class SidecarNoAbortTest {

    private static final String[] NO_ABORT = {"--time-scale", "0.1", "--abort", "no"};

    private static int freeBlocks(ClientConnection connection) {
        return SidecarHarness.status(connection).getLoad().getFreeBlocks();
    }

    /** Cancels one of two streams, which closes its connection to the engine. */
    private static ClientConnection cancelOneOfTwo(SidecarHarness harness) {
        StandInEngine engine = harness.engine(NO_ABORT);
        ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
        TestCall continuing = SidecarHarness.generate(connection, "continuing", "a", 100_000);
        continuing.await(Frame::hasTokens);
        TestCall cancelled = SidecarHarness.generate(connection, "cancelled", "a", 100_000);
        cancelled.await(Frame::hasTokens);
        cancelled.cancel();
        Await.until(
                "one request left in the engine",
                () -> engine.state().liveRequests().size() == 1);
        return connection;
    }

    @Test
    public void requestCountOfTheEngineReleasesTheMemory() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP)) {
            ClientConnection connection = cancelOneOfTwo(harness);
            Await.until("memory of the cancelled request released", () -> freeBlocks(connection) == 64 - 25);
        }
    }

    @Test
    public void withoutTheRequestCountTheMemoryStaysReserved() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()
                .without(SidecarSafeguard.COLD_START_RAMP, SidecarSafeguard.REQUEST_COUNT_AFTER_FAILED_ABORT)) {
            ClientConnection connection = cancelOneOfTwo(harness);
            // Longer than the other test needs; a longer pause gives the same result.
            Thread.sleep(3_000);
            assertEquals(freeBlocks(connection), 64 - 2 * 25);
        }
    }
}
