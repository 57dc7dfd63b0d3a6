package io.chivehollow.coordination.gateway;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against unsafe retries, missing retries, and responses that are truncated without an error. */
@Test(singleThreaded = true, timeOut = 120_000)
public class RetryHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat(boolean stream) {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(stream)));
    }

    /** Guards against a request that is refused although another backend server would accept it. */
    @Test
    public void refusedRequestTriesTheNextCandidate() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).refuse(ErrorCode.OVERLOADED);
        FakeSidecar.Call admit = fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE).refuse(ErrorCode.COLD);
        FakeSidecar.Call reserve = fixture.decode.get(1).next(Frame.BodyCase.RESERVE_DECODE);
        reserve.sendDecodeReserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        admit.sendPrefillDone("h");
        reserve.nextFrame(Frame.BodyCase.START_DECODE);
        reserve.sendTokens(0, "x");
        reserve.sendGenerationDone(1);
        assertEquals(response.get().statusCode(), 200);
    }

    /** Guards against a second prefill when only the decode has failed. */
    @Test
    public void failedDecodeIsRetriedWithTheSamePrefill() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(true);
        fixture.runUntilDecodeStart().fail(ErrorCode.BACKEND_FAILED);
        FakeSidecar.Call other = fixture.decode.get(1).next(Frame.BodyCase.RESERVE_DECODE);
        other.sendDecodeReserved("r2");
        Frame start = other.nextFrame(Frame.BodyCase.START_DECODE);
        assertEquals(start.getStartDecode().getHandle(), "h-1");
        other.sendTokens(0, "ok");
        other.sendGenerationDone(1);
        assertTrue(
                response.get().body().endsWith("data: [DONE]\n\n"),
                response.get().body());
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /**
     * Guards against a restarted request that fails with 503 because it is not retried after refusals. This occurred
     * when sidecars were killed.
     */
    @Test
    public void restartedRequestIsRetriedAfterRefusals() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE).sendDecodeReserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        admit.fail(ErrorCode.BACKEND_FAILED);
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).refuse(ErrorCode.COLD);
        fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL).refuse(ErrorCode.COLD);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendGenerationDone(0);
        assertEquals(response.get().statusCode(), 200);
    }

    /** Guards against a request that is not retried, or retried without end, when its prefill fails. */
    @Test
    public void failedPrefillRestartsOnce() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(true);
        for (int attempt = 0; attempt < 2; attempt++) {
            FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
            admit.sendPrefillReady();
            FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
            reserve.sendDecodeReserved("r");
            admit.nextFrame(Frame.BodyCase.START_PREFILL);
            admit.fail(ErrorCode.BACKEND_FAILED);
            reserve.awaitCancel();
        }
        assertEquals(response.get().statusCode(), 502);
        assertTrue(
                response.get().body().contains("\"not_run\":false"),
                response.get().body());
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /** Guards against a stream that is retried after its first token, or that fails but ends like a complete one. */
    @Test
    public void failedStreamEndsWithAnErrorAndIsNotRetried() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(true);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "half");
        decode.fail(ErrorCode.BACKEND_FAILED);
        String body = response.get().body();
        assertTrue(body.contains("\"content\":\"half\""));
        assertTrue(body.contains("\"error\":{\"code\":\"backend_failed\""), body);
        assertFalse(body.contains("[DONE]"));
        assertEquals(
                fixture.prefill.get(0).pendingCalls() + fixture.decode.get(1).pendingCalls(), 0);
    }

    /** Guards against a truncated response with status 200. */
    @Test
    public void failedBufferedResponseIsAnError() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "half");
        fixture.decode.get(0).close();
        assertEquals(response.get().statusCode(), 502);
        assertFalse(response.get().body().contains("half"));
    }

    /** Guards against a response with missing, duplicate or reordered parts. */
    @Test
    public void reorderedAndDuplicateFramesAreOrdered() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(1, "b");
        decode.sendTokens(0, "a");
        decode.sendTokens(1, "b");
        decode.sendTokens(2, "c");
        decode.sendGenerationDone(3);
        assertTrue(
                response.get().body().contains("\"content\":\"abc\""),
                response.get().body());
    }

    /** Guards against a response that has lost a part and is reported as complete. */
    @Test
    public void lostFrameIsAnError() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        decode.sendTokens(2, "c");
        decode.sendGenerationDone(3);
        assertEquals(response.get().statusCode(), 502);
    }

    /** Guards against parts of one response that reach another request. */
    @Test
    public void interleavedResponsesAreNotMixed() throws Exception {
        CompletableFuture<HttpResponse<String>> first = chat(true);
        FakeSidecar.Call firstDecode = fixture.runUntilDecodeStart();
        CompletableFuture<HttpResponse<String>> second = chat(true);
        FakeSidecar.Call secondDecode = fixture.runUntilDecodeStart();
        for (int i = 0; i < 20; i++) {
            secondDecode.sendTokens(i, "S" + i);
            firstDecode.sendTokens(i, "F" + i);
        }
        secondDecode.sendGenerationDone(20);
        firstDecode.sendGenerationDone(20);
        for (int i = 0; i < 20; i++) {
            assertTrue(first.get().body().contains("\"F" + i + "\""));
            assertTrue(second.get().body().contains("\"S" + i + "\""));
        }
        assertFalse(first.get().body().contains("\"S"));
        assertFalse(second.get().body().contains("\"F"));
    }

    /** Guards against a missing or false "not run" for a request whose queue timeout expired. */
    @Test
    public void requestThatExceedsItsQueueTimeoutIsNotRun() throws Exception {
        fixture.close();
        fixture = new GatewayFixture(GatewayFixture.Options.defaults().withQueueMs(100));
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        assertEquals(response.get().statusCode(), 503);
        assertTrue(
                response.get().body().contains("\"not_run\":true"),
                response.get().body());
        admit.awaitCancel();
        assertEquals(fixture.budget.settled, java.util.List.of(0L));
    }

    /**
     * Guards against requests to a backend server that is draining. Servers in a failure domain that is out of service
     * are excluded by the same check.
     */
    @Test
    public void drainingServerIsNotTried() throws Exception {
        fixture.config.state = fixture.config.state.toBuilder()
                .addDraining("prefill-0")
                .setVersion(2)
                .build();
        CompletableFuture<HttpResponse<String>> response = chat(false);
        fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL).refuse(ErrorCode.CONTEXT_LENGTH_EXCEEDED);
        assertEquals(response.get().statusCode(), 400);
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /** Guards against a useless wait when every queue takes longer than the request may wait. */
    @Test
    public void requestIsRefusedImmediatelyIfAllQueuesAreTooLong() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(70_000);
        fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(80_000);
        assertEquals(response.get().statusCode(), 503);
        assertTrue(
                response.get().body().contains("\"code\":\"overloaded\""),
                response.get().body());
        assertEquals(response.get().headers().allValues("Retry-After"), List.of("70"));
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /** Guards against an arbitrary Retry-After time when no backend server has reported its wait. */
    @Test
    public void refusalWithoutReportedWaitHasNoRetryAfter() throws Exception {
        fixture.config.fresh = false;
        HttpResponse<String> stale = chat(false).get();
        assertEquals(stale.statusCode(), 503);
        assertEquals(stale.headers().allValues("Retry-After"), List.of());
    }

    /** Guards against a refusal although one queue becomes short enough before the queue timeout. */
    @Test
    public void serversAreTriedAgainIfOneQueueIsShort() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(70_000);
        fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(10);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendGenerationDone(0);
        assertEquals(response.get().statusCode(), 200);
    }

    /** Guards against an immediate refusal when decode memory is full, which is frequent at peak load. */
    @Test
    public void requestWaitsWhileDecodeMemoryIsFull() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(70_000);
        FakeSidecar.Call admit = fixture.prefill.get(1).next(Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE).refuse(ErrorCode.OVERLOADED);
        fixture.decode.get(1).next(Frame.BodyCase.RESERVE_DECODE).refuse(ErrorCode.OVERLOADED);
        admit.awaitCancel();
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendGenerationDone(0);
        assertEquals(response.get().statusCode(), 200);
    }

    /** Guards against retries that amplify an overload. */
    @Test
    public void retryBudgetLimitsRetries() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < RetryBudget.MAX_RETRIES; i++) {
            assertTrue(budget.tryAcquire());
        }
        assertFalse(budget.tryAcquire());
        for (int i = 0; i < 9; i++) {
            budget.onRequest();
        }
        assertFalse(budget.tryAcquire());
        budget.onRequest();
        assertTrue(budget.tryAcquire());
    }
}
