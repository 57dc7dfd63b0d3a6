package io.chivehollow.coordination.gateway;

import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.Frame;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against responses that are incomplete, in the wrong order or in the wrong format. */
@Test(singleThreaded = true, timeOut = 120_000)
public class GenerationHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    /** Guards against a buffered response whose text is truncated or altered. */
    @Test
    public void bufferedResponseIsComplete() throws Exception {
        CompletableFuture<HttpResponse<String>> pendingResponse =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
        FakeSidecar.Call stream = fixture.runUntilDecodeStart();
        stream.sendTokens(0, "Hello");
        stream.sendTokens(1, " wor\"ld");
        stream.sendGenerationDone(2);
        HttpResponse<String> response = pendingResponse.get();
        assertEquals(response.statusCode(), 200);
        assertTrue(response.body().contains("\"content\":\"Hello wor\\\"ld\""), response.body());
        assertTrue(response.body().contains("\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2"));
        assertEquals(fixture.budget.settled, java.util.List.of(9L));
    }

    /** Guards against a stream whose events are buffered until its end, or that ends without {@code [DONE]}. */
    @Test
    public void streamedEventsArriveImmediatelyAndEndWithDone() throws Exception {
        CompletableFuture<HttpResponse<InputStream>> pendingResponse = fixture.client.sendAsync(
                fixture.post("/v1/chat/completions", GatewayFixture.chat(true)),
                HttpResponse.BodyHandlers.ofInputStream());
        FakeSidecar.Call stream = fixture.runUntilDecodeStart();
        stream.sendTokens(0, "one");
        HttpResponse<InputStream> response = pendingResponse.get();
        assertEquals(response.statusCode(), 200);
        assertTrue(response.headers().firstValue("content-type").orElse("").startsWith("text/event-stream"));
        SseReader events = new SseReader(response.body());
        assertTrue(events.next().contains("\"role\":\"assistant\""));
        assertTrue(events.next().contains("\"content\":\"one\""));
        stream.sendTokens(1, "two");
        assertTrue(events.next().contains("\"content\":\"two\""));
        stream.sendGenerationDone(2);
        assertTrue(events.next().contains("\"finish_reason\":\"stop\""));
        assertTrue(events.next().contains("\"completion_tokens\":2"));
        assertEquals(events.next(), "[DONE]");
        assertEquals(events.next(), null);
    }

    /** Guards against fields of the caller's request that are lost, and against an API key that is forwarded. */
    @Test
    public void bodyIsForwardedWithoutCredentials() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
        FakeSidecar.Call admit = fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        assertEquals(admit.firstFrame.getAdmitPrefill().getRequest().getTeam(), "team-a");
        assertEquals(admit.firstFrame.getAdmitPrefill().getRequest().getKeyId(), fixture.key.id());
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);
        reserve.sendDecodeReserved("r-1");
        Frame start = admit.nextFrame(Frame.BodyCase.START_PREFILL);
        String body = start.getStartPrefill().getBody().toStringUtf8();
        assertTrue(body.contains("\"custom\":{\"x\":1}"), body);
        admit.sendPrefillDone("h");
        reserve.nextFrame(Frame.BodyCase.START_DECODE);
        reserve.sendGenerationDone(0);
        assertEquals(response.get().statusCode(), 200);
        String sent =
                fixture.prefill.get(0).receivedText() + fixture.decode.get(0).receivedText();
        assertFalse(sent.contains(fixture.key.text()));
        assertTrue(sent.contains("secret-prompt"));
    }

    /** Guards against responses to completions in the format of chat completions. */
    @Test
    public void completionHasTextCompletionFormat() throws Exception {
        String body = "{\"model\":\"" + GatewayFixture.MODEL + "\",\"prompt\":\"p\",\"stream\":true}";
        CompletableFuture<HttpResponse<String>> response = fixture.sendAsync(fixture.post("/v1/completions", body));
        FakeSidecar.Call stream = fixture.runUntilDecodeStart();
        stream.sendTokens(0, "t");
        stream.sendGenerationDone(1);
        String events = response.get().body();
        assertTrue(events.startsWith("data: {\"id\":\"cmpl-"), events);
        assertTrue(events.contains("\"object\":\"text_completion\"") && events.contains("\"text\":\"t\""), events);
        assertTrue(events.endsWith("data: [DONE]\n\n"), events);
        assertFalse(events.contains("usage"), events);
    }

    /** Guards against placement that ignores the cached prefix reported by a sidecar. */
    @Test
    public void reportedCachedPrefixIsUsedInPlacement() throws Exception {
        String body = "{\"model\":\"" + GatewayFixture.MODEL + "\",\"max_tokens\":10,\"prompt\":\"" + "a".repeat(2_048)
                + "\"}";
        fixture.sendAsync(fixture.post("/v1/completions", body));
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL).sendPrefillReady(256);
        fixture.decode.get(0).next(Frame.BodyCase.RESERVE_DECODE);

        fixture.sendAsync(fixture.post("/v1/completions", body));
        fixture.prefill.get(0).next(Frame.BodyCase.ADMIT_PREFILL);
        assertEquals(fixture.prefillCandidates.get(0).cachedPrefixTokens(), 256);
        assertEquals(fixture.prefillCandidates.get(1).cachedPrefixTokens(), 0);
    }
}
