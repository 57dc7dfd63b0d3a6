package io.chivehollow.coordination.sidecar;

import java.util.List;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against engine memory that stays allocated after the caller has cancelled or disconnected. */
public class SidecarCancellationTest {

    /** An engine that does not finish anything while a test runs. */
    private static final String[] STALLED_ENGINE = {"--time-scale", "100000"};

    private static final String[] LONG_RESULT_TTL = {"--time-scale", "0.1", "--prefill-ttl-ms", "100000000"};

    /** How the gateway ends its calls early: by cancelling them or by closing its connection. */
    private enum Disconnect {
        CANCEL {
            @Override
            void disconnect(ClientConnection connection, List<TestCall> calls) {
                calls.forEach(TestCall::cancel);
            }
        },
        CONNECTION_LOST {
            @Override
            void disconnect(ClientConnection connection, List<TestCall> calls) {
                connection.close();
            }
        };

        abstract void disconnect(ClientConnection connection, List<TestCall> calls);
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{Disconnect.CANCEL}, {Disconnect.CONNECTION_LOST}};
    }

    @Test(dataProvider = "disconnects")
    public void queuedAnnouncedAndRunningPrefillsAreReleased(Disconnect disconnect) throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            SidecarRole sidecar = harness.readySidecar(BackendKind.PREFILL, engine.address());
            ClientConnection gateway = harness.connect(sidecar);
            ClientConnection observer = harness.connect(sidecar);
            TestCall running = SidecarHarness.admit(gateway, SidecarHarness.request("running", 100, 10));
            SidecarHarness.startPrefill(running, "a");
            TestCall announced = SidecarHarness.admit(gateway, SidecarHarness.request("announced", 100, 10));
            announced.await(Frame::hasPrefillReady);
            TestCall queued = SidecarHarness.admit(gateway, SidecarHarness.request("queued", 100, 10));
            Await.until("one queued, one running", () -> {
                var load = SidecarHarness.status(observer).getLoad();
                return load.getQueued() == 1
                        && load.getRunning() == 1
                        && engine.state().heldBlocks() == 1;
            });

            disconnect.disconnect(gateway, List.of(running, announced, queued));

            SidecarHarness.awaitAllReleased(observer, engine);
        }
    }

    @Test(dataProvider = "disconnects")
    public void retainedPrefillResultIsReleasedBeforeItExpires(Disconnect disconnect) throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(LONG_RESULT_TTL);
            SidecarRole sidecar = harness.readySidecar(BackendKind.PREFILL, engine.address());
            ClientConnection gateway = harness.connect(sidecar);
            TestCall call = SidecarHarness.admit(gateway, SidecarHarness.request("r", 100, 10));
            SidecarHarness.startPrefill(call, "a");
            call.await(Frame::hasPrefillDone);
            assertEquals(engine.state().heldBlocks(), 1);

            disconnect.disconnect(gateway, List.of(call));

            SidecarHarness.awaitAllReleased(harness.connect(sidecar), engine);
        }
    }

    @Test(dataProvider = "disconnects")
    public void reservationTransferAndDecodeAreReleased(Disconnect disconnect) throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine prefillEngine = harness.engine(LONG_RESULT_TTL);
            StandInEngine engine = harness.engine("--time-scale", "0.1", "--output-fraction", "1");
            ClientConnection prefill = harness.connectedSidecar(BackendKind.PREFILL, prefillEngine.address());
            SidecarRole sidecar = harness.readySidecar(BackendKind.DECODE, engine.address());
            ClientConnection gateway = harness.connect(sidecar);
            ClientConnection observer = harness.connect(sidecar);
            String handle = SidecarHarness.prefill(prefill, "p", "a").getHandle();
            TestCall decoding = SidecarHarness.generate(gateway, "decoding", "a", 40_000);
            decoding.await(Frame::hasTokens);
            TestCall reserved = SidecarHarness.reserve(gateway, SidecarHarness.request("reserved", 100, 10));
            reserved.await(Frame::hasDecodeReserved);
            engine.setLinkStalled(true);
            TestCall importing = SidecarHarness.reserve(gateway, SidecarHarness.request("importing", 100, 10));
            SidecarHarness.startDecode(importing, handle, "a", 10);
            Await.until(
                    "two requests in the engine",
                    () -> engine.state().liveRequests().size() == 2);

            disconnect.disconnect(gateway, List.of(decoding, reserved, importing));

            SidecarHarness.awaitAllReleased(observer, engine);
        }
    }

    @Test
    public void memoryOfAnUnresponsiveGatewayIsReleased() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            SidecarRole sidecar = harness.readySidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.generate(harness.connectWithoutHeartbeats(sidecar), "r", "a", 10);
            Await.until("request in the engine", () -> engine.state().heldBlocks() == 1);

            SidecarHarness.awaitAllReleased(harness.connect(sidecar), engine);
        }
    }

    @Test
    public void withoutAbortTheEngineDoesNotReleaseTheMemory() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.ABORT_ON_CANCEL)) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall call = SidecarHarness.generate(connection, "r", "a", 10);
            Await.until("request in the engine", () -> engine.state().heldBlocks() == 1);

            call.cancel();

            Await.until("sidecar idle", () -> SidecarHarness.isIdle(connection));
            assertEquals(engine.state().heldBlocks(), 1);
        }
    }

    @Test
    public void blocksStayReservedUntilTheEngineConfirmsTheAbort() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall call = SidecarHarness.generate(connection, "r", "a", 10);
            Await.until("request in the engine", () -> engine.state().heldBlocks() == 1);
            engine.setHanging(true);

            call.cancel();

            // The response to this call shows that the sidecar has handled the preceding cancellation.
            assertTrue(SidecarHarness.status(connection).getLoad().getFreeBlocks()
                    < SidecarHarness.status(connection).getLoad().getTotalBlocks());
            engine.setHanging(false);
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void announcedRequestThatIsNotStartedInTimeIsReleased() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(1).readyTimeoutMs(50)) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());

            TestCall notStarted = SidecarHarness.admit(connection, SidecarHarness.request("not-started", 100, 10));

            assertTrue(notStarted.awaitFailure().isNotRun());
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }
}
