package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that run although their API key is not, or no longer, valid or cannot be checked, because the
 * configuration is stale.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class KeyHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat() {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(true)));
    }

    @Test
    public void missingOrInvalidKeyIsRefused() throws Exception {
        HttpRequest missing = HttpRequest.newBuilder(fixture.uri("/v1/chat/completions"))
                .POST(HttpRequest.BodyPublishers.ofString(GatewayFixture.chat(false)))
                .build();
        assertEquals(fixture.send(missing).statusCode(), 401);
        assertTrue(fixture.send(missing).body().contains("missing_key"));
        String text = fixture.key.text();
        // Replaces the character by a different one. A fixed replacement left one key in 64 unchanged and thus valid.
        String wrong = text.substring(0, text.length() - 2) + (text.charAt(text.length() - 2) == 'a' ? "ba" : "aa");
        for (String key : new String[] {wrong, "chk_x_y", "", GatewayFixture.OPERATOR_KEY}) {
            HttpRequest request = HttpRequest.newBuilder(fixture.uri("/search"))
                    .header("X-Api-Key", key)
                    .GET()
                    .build();
            assertTrue(fixture.send(request).body().contains("\"code\":\"invalid_key\""), key);
        }
        assertEquals(
                fixture.plain.get(0).pendingCalls() + fixture.prefill.get(0).pendingCalls(), 0);
    }

    @Test
    public void keyWithdrawnDuringStreamEndsIt() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat();
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        fixture.withdrawKey();
        fixture.scheduler.runRepeatingTasks();
        decode.awaitCancel();
        String body = response.get().body();
        assertTrue(body.contains("\"code\":\"key_withdrawn\""), body);
        assertTrue(body.contains("\"not_run\":false"), body);
        assertFalse(body.contains("[DONE]"));
    }

    /** Guards against a stream that continues at an instance that is disconnected from the replicas. */
    @Test
    public void configurationStaleDuringStreamEndsIt() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat();
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "a");
        fixture.config.fresh = false;
        fixture.scheduler.runRepeatingTasks();
        decode.awaitCancel();
        assertTrue(response.get().body().contains("\"code\":\"configuration_stale\""));
    }

    /** Guards against a queued request that runs because its key was not checked again when it left the queue. */
    @Test
    public void requestWhoseKeyIsWithdrawnInSidecarQueueIsNotRun() throws Exception {
        CompletableFuture<HttpResponse<String>> response = chat();
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        fixture.withdrawKey();
        admit.sendPrefillReady();
        admit.awaitCancel();
        assertEquals(response.get().statusCode(), 401);
        assertTrue(
                response.get().body().contains("\"not_run\":true"),
                response.get().body());
        assertEquals(fixture.decode.get(0).pendingCalls(), 0);
    }

    @Test
    public void requestWhoseKeyIsWithdrawnWhileWaitingForBudgetIsRefused() throws Exception {
        fixture.budget.grantSignal = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> response = chat();
        while (fixture.budget.reserved.isEmpty()) {
            Thread.onSpinWait();
        }
        fixture.withdrawKey();
        fixture.budget.grantSignal.complete(null);
        assertEquals(response.get().statusCode(), 401);
        assertEquals(fixture.prefill.get(0).pendingCalls(), 0);
    }

    /** Guards against keys that are checked only for the first request of a connection. */
    @Test
    public void keyWithdrawnOnOpenConnectionIsRefused() throws Exception {
        String request =
                "GET /v1/models HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + fixture.key.text() + "\r\n\r\n";
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write(request);
            assertTrue(client.readUntil(GatewayFixture.MODEL).startsWith("HTTP/1.1 200"));
            fixture.withdrawKey();
            client.write(request);
            client.readUntil("invalid_key");
        }
    }

    /**
     * Guards against requests with keys at an instance that cannot check them, and against open routes that fail too.
     */
    @Test
    public void staleConfigurationRefusesKeysButServesOpenRoutes() throws Exception {
        fixture.config.fresh = false;
        HttpResponse<String> keyed = fixture.send(fixture.post("/search", "x"));
        assertEquals(keyed.statusCode(), 503);
        assertTrue(keyed.body().contains("configuration_stale") && keyed.body().contains("\"not_run\":true"));
        CompletableFuture<HttpResponse<String>> open =
                fixture.sendAsync(HttpRequest.newBuilder(fixture.uri("/open/a")).build());
        fixture.plain
                .get(0)
                .next(Frame.BodyCase.PLAIN_CALL)
                .server
                .finish(Frame.newBuilder()
                        .setPlainResult(PlainResult.newBuilder().setStatus(204)));
        assertEquals(open.get().statusCode(), 204);
    }
}
