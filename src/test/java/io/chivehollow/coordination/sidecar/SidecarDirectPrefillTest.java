package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.PrefixBlock;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against faults of direct prefills, which the decode engine computes itself: memory that is not released after
 * a cancellation, unfair shares of the teams, and wrong "not run" failures.
 */
public class SidecarDirectPrefillTest {

    /** An engine that does not finish anything while a test runs. */
    private static final String[] STALLED_ENGINE = {"--time-scale", "100000"};

    private static final int DIRECT_PROMPT_TOKENS = 300;

    private static SidecarHarness harness(SidecarSafeguard... disabledSafeguards) {
        SidecarHarness harness =
                new SidecarHarness().without(SidecarSafeguard.COLD_START_RAMP).without(disabledSafeguards);
        harness.view.change(state -> state.getModelsBuilder(0).setDirectPromptTokens(DIRECT_PROMPT_TOKENS));
        return harness;
    }

    private static TestCall start(ClientConnection connection, RequestInfo.Builder request) {
        TestCall call = SidecarHarness.reserve(connection, request);
        SidecarHarness.startDecode(call, "", request.getRequestId(), 10);
        return call;
    }

    private static Load load(ClientConnection connection) {
        return SidecarHarness.status(connection).getLoad();
    }

    /** Starts six prompts of 100 tokens; the engine finishes none of them. */
    private static List<TestCall> startSix(ClientConnection connection, StandInEngine engine, int expectedInEngine) {
        List<TestCall> calls = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            calls.add(start(connection, SidecarHarness.request("r" + i, 100, 10)));
        }
        Await.until(
                "started",
                () -> engine.state().liveRequests().size() == expectedInEngine
                        && load(connection).getQueued() == 6 - expectedInEngine);
        return calls;
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{true}, {false}};
    }

    /** Guards against engine memory that stays allocated, and prefills that start, after the caller disconnected. */
    @Test(dataProvider = "disconnects")
    public void queuedAndRunningDirectPrefillsAreReleased(boolean isConnectionLost) throws Exception {
        try (SidecarHarness harness = harness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            SidecarRole sidecar = harness.readySidecar(BackendKind.DECODE, engine.address());
            ClientConnection gateway = harness.connect(sidecar);
            List<TestCall> calls = startSix(gateway, engine, 3);

            if (isConnectionLost) {
                gateway.close();
            } else {
                calls.forEach(TestCall::cancel);
            }

            SidecarHarness.awaitAllReleased(harness.connect(sidecar), engine);
        }
    }

    /** Guards against concurrent prefills that delay the tokens of other requests by more than the release allows. */
    @Test
    public void withoutQueueTheEngineGetsAllPromptsAtOnce() throws Exception {
        try (SidecarHarness harness = harness(SidecarSafeguard.DIRECT_PREFILL_QUEUE)) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            startSix(harness.connectedSidecar(BackendKind.DECODE, engine.address()), engine, 6);
        }
    }

    /** Guards against a team that delays another team by sending many prompts. */
    @Test
    public void nextPrefillBelongsToTheTeamThatHasUsedLess() throws Exception {
        try (SidecarHarness harness = harness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall running = start(connection, SidecarHarness.request("running", 250, 10));
            Await.until("running", () -> engine.state().liveRequests().size() == 1);
            for (int i = 0; i < 3; i++) {
                start(connection, SidecarHarness.request("a" + i, 250, 10));
            }
            start(connection, SidecarHarness.request("b", 250, 10).setTeam("team-b"));
            Await.until("queued", () -> load(connection).getQueued() == 4);

            running.cancel();
            List<String> started = new ArrayList<>();
            Await.until("next prefill started", () -> {
                started.addAll(engine.state().liveRequests());
                started.removeIf(id -> id.startsWith("running."));
                return !started.isEmpty();
            });

            assertTrue(started.get(0).startsWith("b."), started.toString());
        }
    }

    /** Guards against "not run" for a prompt that is in the engine, and against its absence for a queued one. */
    @Test
    public void onlyQueuedCallsAreReportedAsNotRunWhenTheEngineDrainsOrRestarts() throws Exception {
        try (SidecarHarness harness = harness()) {
            StandInEngine engine = harness.engine(STALLED_ENGINE);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            List<TestCall> calls = startSix(connection, engine, 3);

            harness.view.change(state -> state.addDraining("server-decode"));
            assertEquals(calls.get(5).awaitFailure().code(), ErrorCode.DRAINING);
            assertTrue(calls.get(5).awaitFailure().isNotRun());
            engine.restart();

            for (int i = 0; i < 3; i++) {
                assertEquals(calls.get(i).awaitFailure().code(), ErrorCode.BACKEND_FAILED);
                assertEquals(calls.get(i).awaitFailure().isNotRun(), false);
            }
        }
    }

    /** Guards against a call that waits forever, and a ramp that does not fall back, if the engine never prefills. */
    @Test
    public void engineThatDoesNotPrefillCountsAsCold() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(4).transferTimeoutMs(500)) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            // On a busy machine some of these calls may time out, which only lengthens the test.
            for (int i = 0; load(connection).getRampLimit() == 1; i++) {
                TestCall warmUp = SidecarHarness.generate(connection, "warm-up-" + i, "a", 1);
                Await.until("end", () -> warmUp.failure() != null || warmUp.has(Frame::hasGenerationDone));
            }
            engine.setHanging(true);

            TestCall call = start(connection, SidecarHarness.request("r", 100, 10));

            assertEquals(call.awaitFailure().code(), ErrorCode.BACKEND_FAILED);
            assertEquals(call.awaitFailure().isNotRun(), false);
            assertEquals(load(connection).getRampLimit(), 1);
        }
    }

    /** Guards against direct prefill of a long prompt because a prefix that is not cached is reported as cached. */
    @Test
    public void reservationReportsThePrefixThatTheEngineHasCached() throws Exception {
        try (SidecarHarness harness = harness()) {
            StandInEngine engine = harness.engine("--time-scale", "0.1");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            RequestInfo.Builder request = SidecarHarness.request("r1", 600, 10).addAllPrefixHashes(List.of(11L, 12L));
            TestCall first = start(connection, request);
            first.await(Frame::hasGenerationDone);
            assertEquals(
                    first.await(Frame::hasDecodeReserved).getDecodeReserved().getCachedPrefixTokens(), 0);

            TestCall second = SidecarHarness.reserve(connection, request.setRequestId("r2"));

            assertEquals(
                    second.await(Frame::hasDecodeReserved).getDecodeReserved().getCachedPrefixTokens(),
                    2 * PrefixBlock.TOKENS);
        }
    }
}
