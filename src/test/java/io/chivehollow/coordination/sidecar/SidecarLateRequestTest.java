package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.Priority;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Guards against interactive requests that cannot meet their first token target and delay others that still can. */
public class SidecarLateRequestTest {

    /** An engine that does not finish anything while a test runs. */
    private static final String[] STALLED_ENGINE = {"--time-scale", "100000"};

    /** The settings of the harness expect a prefill time of 1 ms per token. */
    private static final int PROMPT_TOKENS = 10_000;

    private static final int TARGET_MS = 50_000;

    private static final int SHORT_TARGET_MS = 300;

    private static SidecarHarness harness() {
        return new SidecarHarness().maxConcurrent(1).fixedMs(0);
    }

    private static ClientConnection connect(SidecarHarness harness) {
        return harness.connectedSidecar(
                BackendKind.PREFILL, harness.engine(STALLED_ENGINE).address());
    }

    private static TestCall admit(ClientConnection connection, String id, String team, int targetMs) {
        return SidecarHarness.admit(connection, request(id, team, targetMs));
    }

    private static RequestInfo.Builder request(String id, String team, int targetMs) {
        return SidecarHarness.request(id, PROMPT_TOKENS, 10).setTeam(team).setFirstTokenMs(targetMs);
    }

    private static Load load(ClientConnection connection) {
        return SidecarHarness.status(connection).getLoad();
    }

    /** Announces two requests and queues eight more of the same team, which together take 100 s. */
    private static void fillQueue(ClientConnection connection) {
        for (int i = 0; i < 2; i++) {
            admit(connection, "ahead-" + i, "team-a", 0).await(Frame::hasPrefillReady);
        }
        for (int i = 0; i < 8; i++) {
            admit(connection, "queued-" + i, "team-a", 0);
        }
        Await.until("queued", () -> load(connection).getQueued() == 8);
    }

    @Test
    public void requestThatWouldMissItsTargetIsRefusedAsNotRunWithItsWaitTime() throws Exception {
        try (SidecarHarness harness = harness()) {
            ClientConnection connection = connect(harness);
            fillQueue(connection);

            TestCall late = admit(connection, "late", "team-a", TARGET_MS);

            assertEquals(late.awaitFailure().code(), ErrorCode.OVERLOADED);
            assertTrue(late.awaitFailure().isNotRun());
            assertEquals(late.awaitFailure().load().getWaitMs(), 100_000);
            assertEquals(load(connection).getQueued(), 8);
        }
    }

    /** Guards against a wait time that includes the prefill of the request itself although nothing is queued. */
    @Test
    public void waitTimeExcludesTheRequestsOwnPrefill() throws Exception {
        try (SidecarHarness harness = harness()) {
            TestCall late = admit(connect(harness), "late", "team-a", 1);
            assertEquals(late.awaitFailure().load().getWaitMs(), 1);
        }
    }

    @Test
    public void withoutLateRequestHandlingALateRequestIsQueued() throws Exception {
        try (SidecarHarness harness = harness().without(SidecarSafeguard.LATE_REQUEST_HANDLING)) {
            ClientConnection connection = connect(harness);
            fillQueue(connection);

            admit(connection, "late", "team-a", TARGET_MS);

            Await.until("queued", () -> load(connection).getQueued() == 9);
        }
    }

    /** Guards against an estimate of the whole queue, which refuses requests because of another team's backlog. */
    @Test
    public void backlogOfAnotherTeamDoesNotMakeARequestLate() throws Exception {
        try (SidecarHarness harness = harness()) {
            ClientConnection connection = connect(harness);
            fillQueue(connection);

            TestCall call = admit(connection, "other", "team-b", TARGET_MS);

            Await.until("queued", () -> load(connection).getQueued() == 9);
            assertNull(call.failure());
        }
    }

    /** Guards against requests without a target, and batch requests, that are refused as late. */
    @Test
    public void onlyInteractiveRequestsWithATargetAreRefusedAsLate() throws Exception {
        try (SidecarHarness harness = harness()) {
            ClientConnection connection = connect(harness);
            fillQueue(connection);

            admit(connection, "no-target", "team-a", 0);
            SidecarHarness.admit(connection, request("batch", "team-a", 1).setPriority(Priority.BATCH));

            Await.until("queued", () -> load(connection).getQueued() == 10);
        }
    }

    @Test
    public void requestThatBecomesLateInTheQueueIsTreatedAsBatch() throws Exception {
        assertFalse(isLateRequestAnnouncedFirst(harness()));
    }

    @Test
    public void withoutLateRequestHandlingALateRequestKeepsItsPlace() throws Exception {
        assertTrue(isLateRequestAnnouncedFirst(harness().without(SidecarSafeguard.LATE_REQUEST_HANDLING)));
    }

    private static boolean isLateRequestAnnouncedFirst(SidecarHarness harness) throws Exception {
        try (harness) {
            ClientConnection connection = connect(harness);
            List<TestCall> ahead = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                ahead.add(SidecarHarness.admit(connection, SidecarHarness.request("ahead-" + i, 1, 10)));
                ahead.get(i).await(Frame::hasPrefillReady);
            }
            TestCall late = SidecarHarness.admit(
                    connection, SidecarHarness.request("late", 1, 10).setFirstTokenMs(SHORT_TARGET_MS));
            TestCall onTime = SidecarHarness.admit(connection, SidecarHarness.request("on-time", 1, 10));
            Await.until("queued", () -> load(connection).getQueued() == 2);
            // After this pause the target is certainly missed; a longer pause gives the same result.
            Thread.sleep(SHORT_TARGET_MS);

            ahead.get(0).cancel();
            Await.until("announced", () -> late.has(Frame::hasPrefillReady) || onTime.has(Frame::hasPrefillReady));
            boolean isLateFirst = late.has(Frame::hasPrefillReady);
            ahead.get(1).cancel();

            boolean isMarked =
                    late.await(Frame::hasPrefillReady).getPrefillReady().getLate();
            assertEquals(isMarked, !isLateFirst);
            assertFalse(onTime.await(Frame::hasPrefillReady).getPrefillReady().getLate());
            return isLateFirst;
        }
    }
}
