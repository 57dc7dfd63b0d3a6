package io.chivehollow.coordination.sidecar;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.TransportException;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against memory, responses and ramp limits that outlast a restart of the sidecar or of its engine. */
public class SidecarRestartTest {

    private static final String[] STALLED_ENGINE = {"--time-scale", "100000"};

    @Test
    public void restartedSidecarAbortsRequestsOfTheEarlierProcess() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.ABORT_ON_CANCEL)) {
            StandInEngine engine = leaveOneRequestBehind(harness);

            harness.with(SidecarSafeguard.ABORT_ON_CANCEL);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());

            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void withoutReconciliationTheEngineDoesNotReleaseTheMemory() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.ABORT_ON_CANCEL)) {
            StandInEngine engine = leaveOneRequestBehind(harness);

            harness.with(SidecarSafeguard.ABORT_ON_CANCEL).without(SidecarSafeguard.RECONCILIATION);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());

            assertTrue(SidecarHarness.isIdle(connection));
            assertEquals(engine.state().heldBlocks(), 1);
        }
    }

    /** Stops a sidecar without a shutdown, like a crash, so that its request stays in the engine. */
    private static StandInEngine leaveOneRequestBehind(SidecarHarness harness) throws Exception {
        StandInEngine engine = harness.engine(STALLED_ENGINE);
        SidecarRole crashed = harness.readySidecar(BackendKind.DECODE, engine.address());
        SidecarHarness.generate(harness.connect(crashed), "old", "a", 10);
        Await.until("request in the engine", () -> engine.state().heldBlocks() == 1);
        crashed.stopNow();
        return engine;
    }

    @Test
    public void sidecarRefusesWorkBeforeTheEngineResponds() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            engine.setHanging(true);
            SidecarRole sidecar = harness.sidecar(BackendKind.DECODE, engine.address());
            ClientConnection connection = harness.connect(sidecar);

            TransportException refusal = SidecarHarness.reserve(connection, SidecarHarness.request("r", 10, 10))
                    .awaitFailure();

            assertTrue(refusal.isNotRun());
            engine.setHanging(false);
            Await.until("ready", sidecar::isReady);
            SidecarHarness.generate(connection, "r", "a", 3).await(Frame::hasGenerationDone);
        }
    }

    @Test
    public void engineRestartFailsOpenResponsesAndResetsTheRamp() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.warmUp(connection, 4);
            TestCall streaming = SidecarHarness.generate(connection, "streaming", "a", 40_000);
            streaming.await(Frame::hasTokens);
            TestCall reserved = SidecarHarness.reserve(connection, SidecarHarness.request("reserved", 10, 10));
            reserved.await(Frame::hasDecodeReserved);

            engine.restart();

            assertFalse(streaming.awaitFailure().isNotRun());
            assertFalse(streaming.has(Frame::hasGenerationDone));
            assertTrue(reserved.awaitFailure().isNotRun());
            SidecarHarness.awaitAllReleased(connection, engine);
            assertEquals(SidecarHarness.status(connection).getLoad().getRampLimit(), 1);
        }
    }

    @Test
    public void withoutBootDetectionTheRampIsNotReset() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4).without(SidecarSafeguard.BOOT_DETECTION)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.warmUp(connection, 4);
            String bootId = SidecarHarness.status(connection).getBootId();

            engine.restart();

            Await.until(
                    "new boot id received",
                    () -> !SidecarHarness.status(connection).getBootId().equals(bootId));
            assertEquals(SidecarHarness.status(connection).getLoad().getRampLimit(), 4);
        }
    }

    @Test
    public void engineRestartReleasesPrefillsAndServesTheQueue() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());
            TestCall running = SidecarHarness.admit(connection, SidecarHarness.request("running", 10, 10));
            SidecarHarness.startPrefill(running, "a");
            Await.until("request in the engine", () -> engine.state().heldBlocks() == 1);
            TestCall announced = SidecarHarness.admit(connection, SidecarHarness.request("announced", 10, 10));
            announced.await(Frame::hasPrefillReady);
            TestCall queued = SidecarHarness.admit(connection, SidecarHarness.request("queued", 10, 10));

            engine.restart();

            assertFalse(running.awaitFailure().isNotRun());
            assertTrue(announced.awaitFailure().isNotRun());
            queued.await(Frame::hasPrefillReady);
            queued.cancel();
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }
}
