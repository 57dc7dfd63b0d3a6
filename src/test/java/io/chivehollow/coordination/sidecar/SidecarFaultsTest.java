package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against memory that is never released, incomplete responses that are reported as complete, and wrong "not run"
 * failures when several engine faults and cancellations coincide.
 */
public class SidecarFaultsTest {

    private static final int CALLERS = 12;
    private static final int RESPONSES_PER_CALLER = 5;
    private static final int FAULTS = 60;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void allMemoryIsReleasedAndCompleteResponsesAreCorrect(long seed) throws Exception {
        Reporter.log("seed " + seed, true);
        try (SidecarHarness harness = new SidecarHarness()
                .maxConcurrent(8)
                .transferTimeoutMs(300)
                .readyTimeoutMs(1_000)
                .callTimeoutMs(1_000)) {
            StandInEngine prefillEngine = harness.engine("--name", "p", "--time-scale", "0.05", "--cold-factor", "3");
            StandInEngine decodeEngine = harness.engine("--name", "d", "--time-scale", "0.05", "--cold-factor", "3");
            SidecarRole prefill = harness.readySidecar(BackendKind.PREFILL, prefillEngine.address());
            SidecarRole decode = harness.readySidecar(BackendKind.DECODE, decodeEngine.address());
            AtomicInteger requests = new AtomicInteger();
            ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
            List<Future<?>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Random random = new Random(seed * 1_000 + i);
                int caller = i;
                callers.add(threads.submit(() -> {
                    ClientConnection toPrefill = harness.connect(prefill);
                    ClientConnection toDecode = harness.connect(decode);
                    for (int j = 0, responses = 0; responses < RESPONSES_PER_CALLER; j++) {
                        requests.incrementAndGet();
                        if (runRequest(toPrefill, toDecode, "c" + caller + "-" + j, random)) {
                            responses++;
                        } else {
                            Await.pause(10);
                        }
                    }
                }));
            }
            injectFaults(new Random(seed), prefillEngine, decodeEngine);
            for (Future<?> caller : callers) {
                caller.get();
            }
            threads.shutdown();

            SidecarHarness.awaitAllReleased(harness.connect(prefill), prefillEngine);
            SidecarHarness.awaitAllReleased(harness.connect(decode), decodeEngine);
            Reporter.log("requests: " + requests + ", complete: " + CALLERS * RESPONSES_PER_CALLER, true);
        }
    }

    private static void injectFaults(Random random, StandInEngine prefillEngine, StandInEngine decodeEngine) {
        for (int i = 0; i < FAULTS; i++) {
            Await.pause(20);
            StandInEngine engine = random.nextBoolean() ? prefillEngine : decodeEngine;
            switch (random.nextInt(4)) {
                case 0 -> engine.restart();
                case 1 -> engine.turnCold();
                case 2 -> decodeEngine.setLinkStalled(random.nextBoolean());
                default -> engine.setHanging(random.nextBoolean());
            }
        }
        decodeEngine.setLinkStalled(false);
        prefillEngine.setHanging(false);
        decodeEngine.setHanging(false);
    }

    /** Runs one request like a gateway, cancels it at a random stage, and returns whether the response was complete. */
    private static boolean runRequest(ClientConnection toPrefill, ClientConnection toDecode, String id, Random random) {
        int exitStage = random.nextInt(10);
        int tokens = 1 + random.nextInt(30);
        TestCall prefill = SidecarHarness.admit(toPrefill, SidecarHarness.request(id, 100, tokens));
        if (exitStage == 0 || !reached(prefill, Frame::hasPrefillReady)) {
            prefill.cancel();
            return false;
        }
        TestCall decode = SidecarHarness.reserve(toDecode, SidecarHarness.request(id, 100, tokens));
        boolean isComplete = exitStage != 1
                && reached(decode, Frame::hasDecodeReserved)
                && prefillAndDecode(prefill, decode, id, tokens, exitStage);
        prefill.cancel();
        decode.cancel();
        return isComplete;
    }

    private static boolean prefillAndDecode(TestCall prefill, TestCall decode, String id, int tokens, int exitStage) {
        SidecarHarness.startPrefill(prefill, id);
        if (exitStage == 2 || !reached(prefill, Frame::hasPrefillDone)) {
            return false;
        }
        String handle = prefill.await(Frame::hasPrefillDone).getPrefillDone().getHandle();
        if (decode.failure() != null) {
            assertTrue(decode.failure().isNotRun(), "an unused reservation must fail as not run");
            return false;
        }
        SidecarHarness.startDecode(decode, handle, id, tokens);
        if (exitStage == 3 || exitStage == 4 && reached(decode, Frame::hasTokens)) {
            return false;
        }
        if (!reached(decode, Frame::hasGenerationDone)) {
            return false;
        }
        assertEquals(decode.text(), StandInEngine.expectedOutput(id, tokens));
        return true;
    }

    private static boolean reached(TestCall call, Predicate<Frame> predicate) {
        Await.until("progress of a call", () -> call.failure() != null || call.has(predicate));
        return call.has(predicate);
    }
}
