package io.chivehollow.coordination.sidecar;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.TransportException;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against KV cache transfers that stall, arrive after the prefill result has expired, or overload the link, and
 * against memory that they do not release.
 */
public class SidecarTransferTest {

    private static final String[] FAST_ENGINE = {"--time-scale", "0.1", "--prefill-ttl-ms", "100000000"};

    @Test
    public void stalledTransferTimesOutAndReleasesTheMemory() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4).transferTimeoutMs(100)) {
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.warmUp(connection, 4);

            TransportException failure = stalledTransfer(harness, engine, connection);

            assertEquals(failure.code(), ErrorCode.BACKEND_FAILED);
            SidecarHarness.awaitAllReleased(connection, engine);
            assertEquals(
                    SidecarHarness.status(connection).getLoad().getRampLimit(),
                    4,
                    "a stalled link must not reset the ramp of the engine");
        }
    }

    @Test
    public void withoutTransferTimeoutAStalledLinkLooksLikeAColdEngine() throws Exception {
        try (SidecarHarness harness =
                new SidecarHarness().maxConcurrent(4).callTimeoutMs(2_000).without(SidecarSafeguard.TRANSFER_TIMEOUT)) {
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.warmUp(connection, 4);

            TransportException failure = stalledTransfer(harness, engine, connection);

            assertEquals(failure.code(), ErrorCode.DEADLINE_EXCEEDED);
            assertEquals(SidecarHarness.status(connection).getLoad().getRampLimit(), 1);
        }
    }

    private static TransportException stalledTransfer(
            SidecarHarness harness, StandInEngine engine, ClientConnection connection) {
        ClientConnection prefill = harness.connectedSidecar(
                BackendKind.PREFILL, harness.engine(FAST_ENGINE).address());
        String handle = SidecarHarness.prefill(prefill, "p", "a").getHandle();
        engine.setLinkStalled(true);
        TestCall call = SidecarHarness.reserve(connection, SidecarHarness.request("r", 10, 10));
        SidecarHarness.startDecode(call, handle, "a", 10);
        return call.awaitFailure();
    }

    @Test
    public void expiredPrefillResultFailsTheCallWithoutACompleteResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine prefillEngine = harness.engine("--time-scale", "0.1", "--prefill-ttl-ms", "10");
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection prefill = harness.connectedSidecar(BackendKind.PREFILL, prefillEngine.address());
            ClientConnection decode = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall first = SidecarHarness.admit(prefill, SidecarHarness.request("r", 100, 10));
            SidecarHarness.startPrefill(first, "a");
            String handle = first.await(Frame::hasPrefillDone).getPrefillDone().getHandle();
            Await.until("expired", () -> prefillEngine.state().wastedPrefills() == 1);

            TestCall call = SidecarHarness.reserve(decode, SidecarHarness.request("r", 100, 10));
            SidecarHarness.startDecode(call, handle, "a", 10);

            assertEquals(call.awaitFailure().code(), ErrorCode.BACKEND_FAILED);
            assertFalse(call.awaitFailure().isNotRun());
            assertFalse(call.has(Frame::hasGenerationDone));
            first.await(Frame::hasRelease);
            assertNull(first.failure());
            SidecarHarness.awaitAllReleased(decode, engine);
            SidecarHarness.awaitAllReleased(prefill, prefillEngine);
        }
    }

    @Test
    public void promptThatCannotBeTransferredInTimeIsAnErrorOfTheRequest() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().linkBytesPerSecond(1_000_000)) {
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            // The link moves 800,000 bytes until a prefill result expires; a retry elsewhere would waste a prefill.
            TestCall call = SidecarHarness.reserve(connection, SidecarHarness.request("r", 10, 10), 800_001);
            assertEquals(call.awaitFailure().code(), ErrorCode.CONTEXT_LENGTH_EXCEEDED);
            assertTrue(call.awaitFailure().isNotRun());
        }
    }

    @Test
    public void reservationWhoseTransferWouldArriveTooLateIsRefused() throws Exception {
        try (SidecarHarness harness =
                new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP).linkBytesPerSecond(1_000_000)) {
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            // The link moves 800,000 bytes until a prefill result expires.
            TestCall first = SidecarHarness.reserve(connection, SidecarHarness.request("r1", 10, 10), 500_000);
            first.await(Frame::hasDecodeReserved);

            TestCall second = SidecarHarness.reserve(connection, SidecarHarness.request("r2", 10, 10), 500_000);
            assertEquals(second.awaitFailure().code(), ErrorCode.OVERLOADED);
            assertTrue(second.awaitFailure().isNotRun());

            first.cancel();
            TestCall third = SidecarHarness.reserve(connection, SidecarHarness.request("r3", 10, 10), 500_000);
            third.await(Frame::hasDecodeReserved);
        }
    }

    @Test
    public void withoutLinkBudgetTheLinkIsOverbooked() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()
                .without(SidecarSafeguard.COLD_START_RAMP, SidecarSafeguard.LINK_BUDGET)
                .linkBytesPerSecond(1_000_000)) {
            StandInEngine engine = harness.engine(FAST_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            for (int i = 0; i < 3; i++) {
                SidecarHarness.reserve(connection, SidecarHarness.request("r" + i, 10, 10), 500_000)
                        .await(Frame::hasDecodeReserved);
            }
        }
    }
}
