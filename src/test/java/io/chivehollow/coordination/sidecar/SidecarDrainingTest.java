package io.chivehollow.coordination.sidecar;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Header;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.standin.StandInPlainService;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.TransportException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against new work on backend servers that are draining or whose failure domain is out of service, and against
 * work that continues after its API key was withdrawn.
 */
public class SidecarDrainingTest {

    private static final String[] STALLED_ENGINE = {"--time-scale", "100000"};

    @DataProvider
    public Object[][] drainReasons() {
        Consumer<ReleasedState.Builder> draining = state ->
                state.addDraining("server-prefill").addDraining("server-decode").addDraining("server-plain");
        Consumer<ReleasedState.Builder> out =
                state -> state.addDomains(Domain.newBuilder().setId("domain-1").setOut(true));
        return new Object[][] {{ErrorCode.DRAINING, draining}, {ErrorCode.DOMAIN_OUT, out}};
    }

    @Test(dataProvider = "drainReasons")
    public void drainingDecodeServerRefusesNewWorkAndFinishesOpenWork(
            ErrorCode code, Consumer<ReleasedState.Builder> reason) throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall open = SidecarHarness.generate(connection, "open", "a", 200);
            open.await(Frame::hasTokens);

            harness.view.change(reason);
            TestCall refused = SidecarHarness.reserve(connection, SidecarHarness.request("new", 10, 10));

            assertRefused(refused, code);
            open.await(Frame::hasGenerationDone);
            assertEquals(open.text(), StandInEngine.expectedOutput("a", 200));
            assertTrue(SidecarHarness.status(connection).getLoad().getDraining());
        }
    }

    @Test(dataProvider = "drainReasons")
    public void drainingPrefillServerRefusesWaitingWorkAndFinishesOpenWork(
            ErrorCode code, Consumer<ReleasedState.Builder> reason) throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(1)) {
            StandInEngine engine = harness.engine("--time-scale", "20");
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());
            TestCall open = SidecarHarness.admit(connection, SidecarHarness.request("open", 10, 10));
            SidecarHarness.startPrefill(open, "a");
            TestCall announced = SidecarHarness.admit(connection, SidecarHarness.request("announced", 10, 10));
            SidecarHarness.startPrefill(announced, "b");
            TestCall queued = SidecarHarness.admit(connection, SidecarHarness.request("queued", 10, 10));

            harness.view.change(reason);

            assertRefused(announced, code);
            assertRefused(queued, code);
            open.await(Frame::hasPrefillDone);
            open.cancel();
            SidecarHarness.awaitAllReleased(connection, engine);
            assertEquals(engine.state().peakRunning(), 1);
        }
    }

    @Test(dataProvider = "drainReasons")
    public void drainingPlainServerRefusesNewCalls(ErrorCode code, Consumer<ReleasedState.Builder> reason)
            throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());

            harness.view.change(reason);

            assertRefused(SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 101, 1)), code);
            assertTrue(service.ledger().isEmpty());
        }
    }

    @Test
    public void withoutReleasedStateCheckADrainingServerGetsNewWork() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.RELEASED_STATE_CHECK)) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());

            harness.view.change(state -> state.addDraining("server-plain"));

            SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 101, 1))
                    .await(Frame::hasPlainResult);
            assertEquals(service.ledger().size(), 1);
        }
    }

    @Test
    public void unusedReservationIsCancelledWhileDraining() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall reserved = SidecarHarness.reserve(connection, SidecarHarness.request("r", 10, 10));
            reserved.await(Frame::hasDecodeReserved);

            harness.view.change(state -> state.addDraining("server-decode"));

            assertRefused(reserved, ErrorCode.DRAINING);
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void staleConfigurationStopsWorkForTeamsButNotForOpenRoutes() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());

            harness.view.setFresh(false);

            TestCall refused = SidecarHarness.plain(connection, SidecarHarness.plainCall("k1", 101, 1));
            assertRefused(refused, ErrorCode.CONFIGURATION_STALE);
            var open = SidecarHarness.plainCall("k2", 102, 1).setTeam("");
            SidecarHarness.plain(connection, open).await(Frame::hasPlainResult);
            assertEquals(service.ledger().size(), 1);
        }
    }

    @Test
    public void withdrawnKeyEndsStreamsAndWaitingRequests() throws Exception {
        try (SidecarHarness harness =
                new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP).maxConcurrent(1)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            StandInEngine stopped = harness.engine(STALLED_ENGINE);
            ClientConnection decode = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            ClientConnection prefill = harness.connectedSidecar(BackendKind.PREFILL, stopped.address());
            TestCall streaming = SidecarHarness.generate(decode, "streaming", "a", 40_000);
            streaming.await(Frame::hasTokens);
            TestCall running = SidecarHarness.admit(prefill, SidecarHarness.request("running", 10, 10));
            SidecarHarness.startPrefill(running, "a");
            SidecarHarness.admit(prefill, SidecarHarness.request("announced", 10, 10))
                    .await(Frame::hasPrefillReady);
            TestCall queued = SidecarHarness.admit(prefill, SidecarHarness.request("queued", 10, 10));
            Await.until("queued", () -> SidecarHarness.status(prefill).getLoad().getQueued() == 1);

            harness.view.change(ReleasedState.Builder::clearKeys);

            assertRefused(queued, ErrorCode.KEY_WITHDRAWN);
            assertEquals(streaming.awaitFailure().code(), ErrorCode.KEY_WITHDRAWN);
            assertFalse(streaming.awaitFailure().isNotRun());
            SidecarHarness.awaitAllReleased(decode, engine);
        }
    }

    @Test
    public void shutDownFinishesOpenWorkAndRefusesTheRest() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            SidecarRole sidecar = harness.readySidecar(BackendKind.DECODE, engine.address());
            ClientConnection connection = harness.connect(sidecar);
            TestCall open = SidecarHarness.generate(connection, "open", "a", 200);
            open.await(Frame::hasTokens);

            CompletableFuture<Void> done = sidecar.shutDown();
            TestCall refused = SidecarHarness.reserve(connection, SidecarHarness.request("new", 10, 10));

            assertRefused(refused, ErrorCode.SHUTTING_DOWN);
            done.join();
            open.await(Frame::hasGenerationDone);
            assertEquals(open.text(), StandInEngine.expectedOutput("a", 200));
        }
    }

    /** Guards against a plain call that runs although its key was withdrawn while it was queued. */
    @Test
    public void withdrawnKeyEndsWaitingPlainCalls() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()
                .without(SidecarSafeguard.COLD_START_RAMP)
                .maxConcurrent(1)
                .callTimeoutMs(600_000)) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
            Header hang = Header.newBuilder().setName("X-Fail").setValue("hang").build();
            SidecarHarness.plain(
                    connection, SidecarHarness.plainCall("k1", 101, 1).addHeaders(hang));
            Await.until("running", () -> service.ledger().size() == 1);
            TestCall queued = SidecarHarness.plain(
                    connection, SidecarHarness.plainCall("k2", 102, 1).setKeyId("key-a"));
            Await.until(
                    "queued", () -> SidecarHarness.status(connection).getLoad().getQueued() == 1);

            harness.view.change(ReleasedState.Builder::clearKeys);

            assertRefused(queued, ErrorCode.KEY_WITHDRAWN);
            assertEquals(service.ledger().size(), 1);
        }
    }

    private static void assertRefused(TestCall call, ErrorCode code) {
        TransportException refusal = call.awaitFailure();
        assertEquals(refusal.code(), code);
        assertTrue(refusal.isNotRun(), refusal.toString());
    }
}
