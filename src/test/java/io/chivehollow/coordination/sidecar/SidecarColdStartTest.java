package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against more load than a cold engine can handle, independent of the number of gateways and callers. */
public class SidecarColdStartTest {

    private static final int CALLERS = 30;
    private static final String[] COLD = {
        "--time-scale", "0.05", "--cold-requests", "24", "--cold-factor", "4", "--max-running", "16"
    };

    @Test
    public void coldDecodeEngineNeverGetsMoreThanTheRampAllows() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(16)) {
            StandInEngine engine = harness.engine(COLD);
            SidecarRole sidecar = harness.readySidecar(BackendKind.DECODE, engine.address());
            runCallers(harness, sidecar, SidecarColdStartTest::generateWithRetries);

            assertEquals(engine.state().overloads(), 0);
            assertEquals(engine.state().completed(), CALLERS);
        }
    }

    @Test
    public void coldPrefillEngineNeverGetsMoreThanTheRampAllows() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(16)) {
            StandInEngine engine = harness.engine(COLD);
            SidecarRole sidecar = harness.readySidecar(BackendKind.PREFILL, engine.address());
            runCallers(harness, sidecar, (connection, id) -> SidecarHarness.prefill(connection, id, id));

            assertEquals(engine.state().overloads(), 0);
        }
    }

    @Test
    public void withoutRampTheColdEngineIsOverloaded() throws Exception {
        try (SidecarHarness harness =
                new SidecarHarness().maxConcurrent(16).without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine engine = harness.engine(COLD);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            for (int i = 0; i < 4; i++) {
                SidecarHarness.generate(connection, "r" + i, "a", 1_000);
            }

            Await.until("overload", () -> engine.state().overloads() > 0);
        }
    }

    private interface Caller {
        void run(ClientConnection connection, String id);
    }

    private static void runCallers(SidecarHarness harness, SidecarRole sidecar, Caller caller) throws Exception {
        List<ClientConnection> gateways =
                List.of(harness.connect(sidecar), harness.connect(sidecar), harness.connect(sidecar));
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        List<Future<?>> results = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            ClientConnection gateway = gateways.get(i % gateways.size());
            String id = "r" + i;
            results.add(threads.submit(() -> caller.run(gateway, id)));
        }
        for (Future<?> result : results) {
            result.get();
        }
        threads.shutdown();
    }

    /** Retries until the request completes, like callers that do not back off. */
    private static void generateWithRetries(ClientConnection connection, String id) {
        while (true) {
            TestCall call = SidecarHarness.reserve(connection, SidecarHarness.request(id, 10, 4));
            Await.until("reservation or refusal", () -> call.failure() != null || call.has(Frame::hasDecodeReserved));
            if (call.failure() == null) {
                SidecarHarness.startDecode(call, "", id, 4);
                Await.until(
                        "end of the generation", () -> call.failure() != null || call.has(Frame::hasGenerationDone));
                if (call.failure() == null) {
                    return;
                }
            }
            assertTrue(call.failure().isNotRun(), call.failure().toString());
            Await.pause(2);
        }
    }

    @Test
    public void engineThatTurnsColdWithoutRestartGetsNoFurtherWork() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4).slowTokenMs(1_000)) {
            StandInEngine engine = harness.engine(TURNS_COLD);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            turnColdWhileStreaming(connection, engine);

            Await.until(
                    "ramp falls back",
                    () -> SidecarHarness.status(connection).getLoad().getRampLimit() == 1);

            TestCall refused = SidecarHarness.reserve(connection, SidecarHarness.request("refused", 10, 10));
            assertEquals(refused.awaitFailure().code(), ErrorCode.COLD);
            assertTrue(refused.awaitFailure().isNotRun());
        }
    }

    @Test
    public void reservationMadeBeforeTheEngineTurnedColdIsNotStarted() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4).slowTokenMs(1_000)) {
            StandInEngine engine = harness.engine(TURNS_COLD);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.warmUp(connection, 4);
            TestCall reserved = SidecarHarness.reserve(connection, SidecarHarness.request("reserved", 10, 10));
            reserved.await(Frame::hasDecodeReserved);
            turnColdWhileStreaming(connection, engine);
            Await.until(
                    "ramp falls back",
                    () -> SidecarHarness.status(connection).getLoad().getRampLimit() == 1);

            SidecarHarness.startDecode(reserved, "", "a", 10);

            assertEquals(reserved.awaitFailure().code(), ErrorCode.COLD);
            assertTrue(reserved.awaitFailure().isNotRun());
            assertEquals(engine.state().overloads(), 0);
        }
    }

    @Test
    public void withoutSlowTokenDetectionTheColdEngineGetsFurtherWork() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()
                .maxConcurrent(4)
                .slowTokenMs(1_000)
                .without(SidecarSafeguard.SLOW_TOKEN_DETECTION)) {
            StandInEngine engine = harness.engine(TURNS_COLD);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            turnColdWhileStreaming(connection, engine);

            SidecarHarness.generate(connection, "more", "a", 10);

            Await.until("overload", () -> engine.state().overloads() > 0);
        }
    }

    /** A step takes 2 ms when warm and several minutes when cold. */
    private static final String[] TURNS_COLD = {"--time-scale", "0.1", "--cold-factor", "100000"};

    private static void turnColdWhileStreaming(ClientConnection connection, StandInEngine engine) {
        SidecarHarness.warmUp(connection, 4);
        TestCall streaming = SidecarHarness.generate(connection, "streaming", "a", 40_000);
        streaming.await(Frame::hasTokens);
        engine.turnCold();
    }
}
