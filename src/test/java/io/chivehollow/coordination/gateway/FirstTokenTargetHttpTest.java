package io.chivehollow.coordination.gateway;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Priority;
import io.chivehollow.protocol.wire.RequestInfo;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against interactive requests that are lost after they missed their first token target, or that keep
 * interactive priority and so delay requests that can still meet their target.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class FirstTokenTargetHttpTest {

    private static final int TARGET_MS = 50_000;

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
        fixture.setFirstTokenTarget(TARGET_MS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat() {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
    }

    private FakeSidecar.Call nextAdmission(int server, Priority expected) throws InterruptedException {
        FakeSidecar.Call call = fixture.prefill.get(server).next(Frame.BodyCase.ADMIT_PREFILL);
        RequestInfo request = call.firstFrame.getAdmitPrefill().getRequest();
        assertEquals(request.getPriority(), expected);
        boolean hasTarget = request.getFirstTokenMs() > 0 && request.getFirstTokenMs() <= TARGET_MS;
        assertEquals(hasTarget, expected == Priority.INTERACTIVE);
        return call;
    }

    @Test
    public void requestThatNoServerCanServeInTimeGetsBatchPriority() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat();
        nextAdmission(0, Priority.INTERACTIVE).refuseWithEstimatedWait(1_000);
        nextAdmission(1, Priority.INTERACTIVE).refuseWithEstimatedWait(1_000);
        FakeSidecar.Call admit = nextAdmission(0, Priority.BATCH);
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
        assertEquals(reserve.firstFrame.getReserveDecode().getRequest().getPriority(), Priority.BATCH);
        reserve.sendDecodeReserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        admit.sendPrefillDone("h");
        reserve.nextFrame(Frame.BodyCase.START_DECODE);
        reserve.sendTokens(0, "x");
        reserve.sendGenerationDone(1);
        assertEquals(response.get().statusCode(), 200);
    }

    /** Guards against a request that missed its target but reserves decode memory from the interactive share. */
    @Test
    public void requestThatMissedItsTargetInTheQueueReservesWithBatchPriority() throws Exception {
        chat();
        nextAdmission(0, Priority.INTERACTIVE).sendLatePrefillReady();
        FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
        assertEquals(reserve.firstFrame.getReserveDecode().getRequest().getPriority(), Priority.BATCH);
    }

    /** Guards against a caller that waits until its queue timeout although all estimated waits exceed it. */
    @Test
    public void requestWhoseWaitExceedsTheQueueTimeoutIsRefusedImmediately() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat();
        nextAdmission(0, Priority.INTERACTIVE).refuseWithEstimatedWait(60_000_000);
        nextAdmission(1, Priority.INTERACTIVE).refuseWithEstimatedWait(60_000_000);
        assertEquals(response.get().statusCode(), 503);
        assertTrue(
                response.get().body().contains("\"not_run\":true"),
                response.get().body());
    }
}
