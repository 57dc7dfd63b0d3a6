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

/**
 * Guards against leaked engine memory after a disconnect, incomplete responses without an error, and unsafe retries,
 * for prompts that the decode engine prefills itself.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class DirectHttpTest {

    private static final int LIMIT_TOKENS = 300;

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
        fixture.allowDirect(LIMIT_TOKENS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat(boolean stream) {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(stream)));
    }

    private FakeSidecar.Call nextReservation(int server) throws InterruptedException {
        return fixture.decode.get(server).next(Frame.BodyCase.RESERVE_DECODE);
    }

    private FakeSidecar.Call runUntilDecodeStart(int server) throws InterruptedException {
        FakeSidecar.Call reserve = nextReservation(server);
        reserve.sendDecodeReserved("r");
        assertEquals(
                reserve.nextFrame(Frame.BodyCase.START_DECODE).getStartDecode().getHandle(), "");
        return reserve;
    }

    private void assertNoPrefill() {
        assertEquals(
                fixture.prefill.get(0).pendingCalls() + fixture.prefill.get(1).pendingCalls(), 0);
    }

    /** Guards against the use of a prefill server for a short prompt, also while no prefill server is in service. */
    @Test
    public void shortPromptNeedsNoPrefillServer() throws Exception {
        fixture.config.state =
                fixture.config.state.toBuilder().setVersion(9).removePools(0).build();
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call stream = runUntilDecodeStart(0);
        assertEquals(stream.firstFrame.getReserveDecode().getKvBytes(), 0);
        stream.sendTokens(0, "x");
        stream.sendGenerationDone(1);
        assertEquals(response.get().statusCode(), 200);
        assertEquals(fixture.budget.settled, List.of(8L));
    }

    /**
     * Guards against a long prompt that is prefilled in a decode batch, and against a cached prefix that is not used.
     */
    @Test
    public void longPromptIsDirectOnlyWhereItsPrefixIsCached() throws Exception {
        String body = "{\"model\":\"" + GatewayFixture.MODEL + "\",\"max_tokens\":10,\"prompt\":\"" + "a".repeat(2_048)
                + "\"}";
        fixture.sendAsync(fixture.post("/v1/completions", body));
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).sendPrefillReady();
        nextReservation(0).refuse(ErrorCode.OVERLOADED);
        nextReservation(1).sendDecodeReserved("r", 256);

        fixture.sendAsync(fixture.post("/v1/completions", body));
        FakeSidecar.Call direct = nextReservation(1);
        // The prefix was evicted from the cache in the meantime.
        direct.sendDecodeReserved("r", 0);
        direct.awaitCancel();
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
    }

    /** Guards against decode memory that stays allocated after the caller disconnected. */
    @Test
    public void disconnectCancelsReservationAndDirectPrefill() throws Exception {
        for (boolean isStarted : new boolean[] {false, true}) {
            CompletableFuture<HttpResponse<String>> response = chat(true);
            FakeSidecar.Call call = isStarted ? runUntilDecodeStart(0) : nextReservation(0);
            response.cancel(true);
            call.awaitCancel();
            while (fixture.gateway.openRequests() > 0) {
                Thread.onSpinWait();
            }
        }
        assertEquals(fixture.budget.settled.get(0), Long.valueOf(0));
    }

    /** Guards against a wrong or missing "not run" when a sidecar refuses to start the generation. */
    @Test
    public void refusedStartIsNotRunAndTriesTheNextServer() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(false);
        runUntilDecodeStart(0).refuse(ErrorCode.COLD);
        nextReservation(1).refuse(ErrorCode.OVERLOADED);
        fixture.withdrawKey();
        fixture.scheduler.runRepeatingTasks();
        assertEquals(response.get().statusCode(), 401);
        assertTrue(
                response.get().body().contains("\"not_run\":true"),
                response.get().body());
        assertEquals(fixture.budget.settled, List.of(0L));
    }

    /**
     * Guards against a request that is not retried, or retried without end, when an engine fails during the prefill.
     */
    @Test
    public void failureBeforeFirstOutputChangesServerAndRestartsOnce() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(true);
        runUntilDecodeStart(0).fail(ErrorCode.BACKEND_FAILED);
        runUntilDecodeStart(1).fail(ErrorCode.BACKEND_FAILED);
        runUntilDecodeStart(0).fail(ErrorCode.BACKEND_FAILED);
        assertEquals(response.get().statusCode(), 502);
        assertTrue(
                response.get().body().contains("\"not_run\":false"),
                response.get().body());
        assertNoPrefill();
    }

    /** Guards against tokens that are sent twice. */
    @Test
    public void failureAfterFirstOutputIsNotRetried() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat(true);
        FakeSidecar.Call stream = runUntilDecodeStart(0);
        stream.sendTokens(0, "half");
        stream.fail(ErrorCode.BACKEND_FAILED);
        String body = response.get().body();
        assertTrue(body.contains("\"error\":{\"code\":\"backend_failed\""), body);
        assertFalse(body.contains("[DONE]"));
        assertEquals(fixture.decode.get(1).pendingCalls(), 0);
        assertNoPrefill();
    }
}
