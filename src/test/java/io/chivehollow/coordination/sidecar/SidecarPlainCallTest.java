package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainCall;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.LedgerEntry;
import io.chivehollow.standin.StandInPlainService;
import io.chivehollow.transport.ClientConnection;
import org.testng.Reporter;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against non-idempotent calls that run twice, and calls that run but are reported as "not run". */
public class SidecarPlainCallTest {

    private static final long SEED = 4_711;

    @Test
    public void retriedFramesRunAtMostOnce() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            assertEquals(sendThreeTimes(harness).size(), 1);
        }
    }

    @Test
    public void withoutAttemptCheckARetriedFrameRunsAgain() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.AT_MOST_ONCE)) {
            assertEquals(sendThreeTimes(harness).size(), 3);
        }
    }

    private static List<LedgerEntry> sendThreeTimes(SidecarHarness harness) {
        StandInPlainService service = harness.plainService();
        ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
        for (int attempt : new int[] {1, 1, 2}) {
            TestCall call = SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 101, attempt));
            Await.until("response or failure", () -> call.failure() != null || call.has(Frame::hasPlainResult));
            if (call.failure() != null) {
                assertFalse(call.failure().isNotRun(), "a call that has run must not be reported as not run");
            }
        }
        return service.ledger();
    }

    @Test
    public void callBegunBeforeTheStartIsRefusedWithUnknownOutcome() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().startRecord(new StartRecord(100, 1))) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());

            TestCall call = SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 100, 1));

            assertEquals(call.awaitFailure().code(), ErrorCode.OUTCOME_UNKNOWN);
            assertFalse(call.awaitFailure().isNotRun());
            assertTrue(service.ledger().isEmpty());
        }
    }

    @Test
    public void unreachableServiceIsNotRunAndAllowsAFurtherAttempt() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
            service.close();

            for (int attempt = 1; attempt <= 2; attempt++) {
                TestCall call = SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 101, attempt));
                assertEquals(call.awaitFailure().code(), ErrorCode.BACKEND_FAILED);
                assertTrue(call.awaitFailure().isNotRun(), call.awaitFailure().toString());
            }
            assertTrue(service.ledger().isEmpty());
        }
    }

    @Test
    public void pathThatInjectsASecondRequestIsRefusedAndReleasesItsSlot() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(1)) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
            PlainCall.Builder message =
                    SidecarHarness.plainCall("k", 101, 1).setPath("/a HTTP/1.1\r\nContent-Length: 0\r\n\r\nPOST /b");

            assertTrue(SidecarHarness.plain(connection, message).awaitFailure().isNotRun());

            SidecarHarness.plain(connection, SidecarHarness.plainCall("k", 101, 2))
                    .await(Frame::hasPlainResult);
            assertEquals(service.ledger().size(), 1);
        }
    }

    @Test
    public void lostResponseIsNotReportedAsNotRun() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
            PlainCall.Builder message = SidecarHarness.plainCall("k", 101, 1);
            message.addHeadersBuilder().setName("X-Fail").setValue("drop_answer");

            assertFalse(SidecarHarness.plain(connection, message).awaitFailure().isNotRun());

            assertEquals(service.ledger().size(), 1);
        }
    }

    @Test
    public void callsRunAtMostOnceUnderRandomFaultsAndNotRunIsNeverFalse() throws Exception {
        Reporter.log("seed " + SEED, true);
        Random random = new Random(SEED);
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(3)) {
            StandInPlainService service = harness.plainService();
            SidecarRole sidecar = harness.readySidecar(BackendKind.PLAIN, service.address());
            List<ClientConnection> gateways = List.of(harness.connect(sidecar), harness.connect(sidecar));
            Map<String, TestCall> callsByRequest = new HashMap<>();
            List<String> cancelled = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                int key = random.nextInt(60);
                PlainCall.Builder message = SidecarHarness.plainCall("k" + key, 95 + key, 1 + random.nextInt(3))
                        .setRequestId("request-" + i);
                String[] headers = {"", "", "", "refuse", "drop_answer", "drop_call"};
                String failure = headers[random.nextInt(headers.length)];
                if (!failure.isEmpty()) {
                    message.addHeadersBuilder().setName("X-Fail").setValue(failure);
                }
                if (random.nextInt(20) == 0) {
                    harness.view.change(state -> state.addDraining("server-plain"));
                } else if (random.nextInt(3) == 0) {
                    harness.view.change(state -> state.clearDraining());
                }
                TestCall call = SidecarHarness.plain(gateways.get(random.nextInt(2)), message);
                callsByRequest.put("request-" + i, call);
                if (random.nextInt(5) == 0) {
                    call.cancel();
                    cancelled.add("request-" + i);
                }
            }
            callsByRequest.forEach((id, call) -> Await.until(
                    "response or failure of " + id,
                    () -> cancelled.contains(id) || call.failure() != null || call.has(Frame::hasPlainResult)));
            Await.until("idle", () -> SidecarHarness.isIdle(gateways.get(0)));
            checkLedger(service.ledger(), callsByRequest);
        }
    }

    private static void checkLedger(List<LedgerEntry> ledger, Map<String, TestCall> callsByRequest) {
        Map<String, LedgerEntry> byKey = new HashMap<>();
        for (LedgerEntry entry : ledger) {
            assertEquals(byKey.put(entry.idempotencyKey(), entry), null, "ran twice: " + entry);
            TestCall call = callsByRequest.get(entry.requestId());
            boolean saysNotRun = call.failure() != null && call.failure().isNotRun();
            assertFalse(saysNotRun, "reported as not run but ran: " + entry);
            int key = Integer.parseInt(entry.idempotencyKey().substring(1));
            assertTrue(95 + key > 100, "begun before the start: " + entry);
        }
        assertFalse(ledger.isEmpty());
    }
}
