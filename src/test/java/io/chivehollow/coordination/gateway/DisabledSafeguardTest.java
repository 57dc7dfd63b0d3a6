package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainResult;
import io.chivehollow.state.machine.IdempotencyKey;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Shows that the faults that the other tests guard against occur when the respective safeguard is disabled. */
@Test(singleThreaded = true, timeOut = 120_000)
public class DisabledSafeguardTest {

    private GatewayFixture fixture;

    private void startWithout(GatewaySafeguard safeguard) {
        fixture = new GatewayFixture(GatewayFixture.Options.defaults().withShutdownMs(1_000), Set.of(safeguard));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat(boolean stream) {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(stream)));
    }

    @Test
    public void withoutCancelOnDisconnectTheRequestContinues() throws Exception {
        startWithout(GatewaySafeguard.CANCEL_ON_DISCONNECT);
        String body = GatewayFixture.chat(false);
        RawClient client = new RawClient(fixture.gateway.address())
                .write("POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + fixture.key.text()
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        client.close();
        while (fixture.gateway.inFlight() > 0) {
            Thread.onSpinWait();
        }
        admit.sendPrefillReady();
        fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
    }

    @Test
    public void withoutKeyRecheckTheStreamOfAWithdrawnKeyContinues() throws Exception {
        startWithout(GatewaySafeguard.KEY_RECHECK);
        CompletableFuture<HttpResponse<String>> response = chat(true);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        fixture.withdrawKey();
        fixture.scheduler.runRepeatingTasks();
        decode.sendGenerationDone(1);
        assertTrue(response.get().body().contains("[DONE]"));
    }

    @Test
    public void withoutTokenOrderReorderedFramesReorderTheText() throws Exception {
        startWithout(GatewaySafeguard.TOKEN_ORDER);
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(1, "b");
        decode.sendTokens(0, "a");
        decode.sendGenerationDone(2);
        assertTrue(response.get().body().contains("\"content\":\"ba\""));
    }

    @Test
    public void withoutCompletenessCheckAnIncompleteResponseSucceeds() throws Exception {
        startWithout(GatewaySafeguard.COMPLETENESS_CHECK);
        CompletableFuture<HttpResponse<String>> response = chat(false);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(1, "b");
        decode.sendGenerationDone(2);
        assertEquals(response.get().statusCode(), 200);
    }

    @Test
    public void decodeIsRetriedAfterOutputWithoutTheSafeguard() throws Exception {
        startWithout(GatewaySafeguard.NO_RETRY_AFTER_OUTPUT);
        chat(true);
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        decode.fail(ErrorCode.BACKEND_FAILED);
        fixture.decode.get(1).next(Frame.BodyCase.RESERVE_DECODE);
    }

    @Test
    public void withoutAtMostOnceARetryRunsAgain() throws Exception {
        startWithout(GatewaySafeguard.AT_MOST_ONCE);
        String key =
                IdempotencyKey.create(System.currentTimeMillis(), new Random()).text();
        HttpRequest order = fixture.requestWithKey("/orders")
                .header("Idempotency-Key", key)
                .GET()
                .build();
        for (int i = 0; i < 2; i++) {
            CompletableFuture<HttpResponse<String>> response = fixture.sendAsync(order);
            fixture.plain
                    .get(0)
                    .next(Frame.BodyCase.PLAIN_CALL)
                    .server
                    .finish(Frame.newBuilder()
                            .setPlainResult(PlainResult.newBuilder().setStatus(204)));
            assertEquals(response.get().statusCode(), 204);
        }
    }

    @Test
    public void withoutCredentialFilterTheKeyReachesTheBackendServer() throws Exception {
        startWithout(GatewaySafeguard.CREDENTIAL_FILTER);
        fixture.sendAsync(fixture.requestWithKey("/search").GET().build());
        fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        assertTrue(fixture.plain.get(0).receivedText().contains(fixture.key.text()));
    }

    @Test
    public void withoutShutdownDrainTheShutdownEndsBeforeTheOpenStream() throws Exception {
        startWithout(GatewaySafeguard.SHUTDOWN_DRAIN);
        CompletableFuture<HttpResponse<String>> response = chat(true);
        fixture.runUntilDecodeStart().sendTokens(0, "a");
        fixture.gateway.shutDown().get();
        assertTrue(!response.isDone());
        assertEquals(fixture.gateway.inFlight(), 1);
    }
}
