package io.chivehollow.coordination.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.Frame;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against engine memory that stays allocated after the caller has disconnected, because the gateway does not
 * cancel the calls of the request.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class CancelHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    @DataProvider
    public Object[][] streamed() {
        return new Object[][] {{false}, {true}};
    }

    private RawClient call(boolean stream) throws Exception {
        String body = GatewayFixture.chat(stream);
        return new RawClient(fixture.gateway.address())
                .write("POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + fixture.key.text()
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    @Test(dataProvider = "streamed")
    public void disconnectInSidecarQueueCancelsAdmission(boolean stream) throws Exception {
        RawClient client = call(stream);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        client.close();
        admit.awaitCancel();
        while (fixture.budget.settled.isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals(fixture.budget.settled, List.of(0L));
    }

    @Test(dataProvider = "streamed")
    public void disconnectWhileReservingCancelsBothCalls(boolean stream) throws Exception {
        RawClient client = call(stream);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
        client.close();
        admit.awaitCancel();
        reserve.awaitCancel();
    }

    @Test(dataProvider = "streamed")
    public void disconnectWhilePrefillingCancelsBothCalls(boolean stream) throws Exception {
        RawClient client = call(stream);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
        reserve.sendDecodeReserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        client.close();
        admit.awaitCancel();
        reserve.awaitCancel();
    }

    @Test(dataProvider = "streamed")
    public void disconnectWhileStreamingCancelsDecode(boolean stream) throws Exception {
        RawClient client = call(stream);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        if (stream) {
            client.readUntil("\"content\":\"a\"");
        }
        client.close();
        decode.awaitCancel();
    }

    /**
     * Guards against token budget that stays reserved, and against a call that starts after its caller disconnected.
     */
    @Test
    public void disconnectWhileWaitingForBudgetCancelsReservation() throws Exception {
        fixture.budget.grantSignal = new CompletableFuture<>();
        RawClient client = call(false);
        while (fixture.budget.reserved.isEmpty()) {
            Thread.onSpinWait();
        }
        client.close();
        while (fixture.budget.reservations.isEmpty()
                || !fixture.budget.reservations.get(0).isCancelled()) {
            Thread.onSpinWait();
        }
        fixture.budget.grantSignal.complete(null);
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /** Guards against an idempotent plain call that continues after its caller disconnected. */
    @Test
    public void disconnectCancelsIdempotentPlainCall() throws Exception {
        RawClient client = new RawClient(fixture.gateway.address()).write("GET /open/x HTTP/1.1\r\nHost: g\r\n\r\n");
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        client.close();
        call.awaitCancel();
        assertTrue(call.isCancelled());
    }
}
