package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.Reporter;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against responses that reach the wrong call, and incomplete responses that are reported as complete. */
public class SidecarResponsesTest {

    private static final long SEED = 20_261_204;

    @Test
    public void lateAndInterleavedResponsesReachTheRightCall() throws Exception {
        Reporter.log("seed " + SEED, true);
        Random random = new Random(SEED);
        try (SidecarHarness harness =
                new SidecarHarness().maxConcurrent(16).without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine engine = harness.engine("--time-scale", "0.02");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            List<Runnable> checks = new ArrayList<>();
            for (int round = 0; round < 12; round++) {
                List<TestCall> calls = new ArrayList<>();
                for (int i = 0; i < 12; i++) {
                    // The ids repeat, so that a late abort or response of a cancelled call coincides with a later call.
                    String prompt = "prompt " + round + " " + i;
                    int tokens = 1 + random.nextInt(20);
                    TestCall call = SidecarHarness.generate(connection, "id-" + i % 4, prompt, tokens);
                    calls.add(call);
                    if (random.nextInt(3) == 0) {
                        call.cancel();
                    } else {
                        checks.add(() -> {
                            call.await(Frame::hasGenerationDone);
                            assertEquals(call.text(), StandInEngine.expectedOutput(prompt, tokens));
                        });
                    }
                }
                checks.forEach(Runnable::run);
                checks.clear();
                Await.until("all calls of the round ended", () -> SidecarHarness.isIdle(connection));
            }
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void responseInterruptedByAnEngineRestartIsNotComplete() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.BOOT_DETECTION)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall call = SidecarHarness.generate(connection, "r", "a", 40_000);
            call.await(Frame::hasTokens);

            engine.restart();

            assertEquals(call.awaitFailure().code(), ErrorCode.BACKEND_FAILED);
            assertFalse(call.awaitFailure().isNotRun());
            assertFalse(call.has(Frame::hasGenerationDone));
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void malformedBodyIsRefusedAsNotRun() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine();
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall call = SidecarHarness.generate(connection, "r", "\"unbalanced", 1);

            assertEquals(call.awaitFailure().code(), ErrorCode.INVALID_REQUEST);
            assertTrue(call.awaitFailure().isNotRun());
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }

    @Test
    public void requestThatDoesNotFitIntoMemoryIsRefused() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP)) {
            StandInEngine engine = harness.engine("--time-scale", "100000");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            int half = 33 * 4096;
            TestCall first = SidecarHarness.reserve(connection, SidecarHarness.request("r1", half, 0));
            first.await(Frame::hasDecodeReserved);

            TestCall second = SidecarHarness.reserve(connection, SidecarHarness.request("r2", half, 0));
            TestCall tooLarge = SidecarHarness.reserve(connection, SidecarHarness.request("r3", 2 * half, 0));

            assertEquals(second.awaitFailure().code(), ErrorCode.OVERLOADED);
            assertEquals(second.awaitFailure().load().getFreeBlocks(), 31);
            assertEquals(tooLarge.awaitFailure().code(), ErrorCode.CONTEXT_LENGTH_EXCEEDED);
            first.cancel();
            SidecarHarness.awaitAllReleased(connection, engine);
        }
    }
}
