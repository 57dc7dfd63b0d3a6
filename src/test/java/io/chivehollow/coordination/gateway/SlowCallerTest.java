package io.chivehollow.coordination.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscription;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.BaseSubscriber;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against callers that read slowly and thereby use up the memory of the gateway or of an engine, or receive
 * responses with lost output.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class SlowCallerTest {

    /** All frames together are much larger than the buffers of a connection on the loopback interface. */
    private static final int FRAMES = 1_000;

    private static final int FRAME_CHARS = 60_000;

    private @Nullable GatewayFixture fixture;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (fixture != null) {
            fixture.close();
            fixture = null;
        }
    }

    private RawClient openStream() throws IOException {
        String body = GatewayFixture.chat(true);
        return new RawClient(fixture.gateway.address())
                .write("POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nConnection: close\r\nAuthorization: Bearer "
                        + fixture.key.text() + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends all frames, or until the gateway cancels the call, and returns the call. */
    private FakeSidecar.Call sendFrames() throws InterruptedException {
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        for (int i = 0; i < FRAMES && !decode.isCancelled(); i++) {
            decode.sendTokens(i, "#" + i + "." + "x".repeat(FRAME_CHARS));
        }
        return decode;
    }

    /** Returns the number of frames in the response; asserts that none before the last one is missing. */
    private static int contiguousFrames(String response) {
        int frames = 0;
        while (response.contains("#" + frames + ".")) {
            frames++;
        }
        assertEquals(response.chars().filter(c -> c == '#').count(), frames);
        return frames;
    }

    @Test
    public void streamAboveTheBufferLimitEndsWithAnErrorAndCancelsDecode() throws Exception {
        fixture = new GatewayFixture();
        try (RawClient client = openStream()) {
            sendFrames().awaitCancel();

            String response = client.readAll();
            assertTrue(response.contains("\"error\":{\"code\":\"caller_too_slow\""));
            assertFalse(response.contains("[DONE]"));
            int frames = contiguousFrames(response);
            assertTrue(frames > 0 && frames < FRAMES, "frames: " + frames);
        }
    }

    @Test
    public void withoutTheBufferLimitAllOutputIsBuffered() throws Exception {
        fixture = new GatewayFixture(GatewayFixture.Options.defaults(), Set.of(GatewaySafeguard.STREAM_BOUND));
        try (RawClient client = openStream()) {
            sendFrames().sendGenerationDone(FRAMES);

            String response = client.readAll();
            assertEquals(contiguousFrames(response), FRAMES);
            assertTrue(response.contains("[DONE]"));
        }
    }

    @Test
    public void callerThatDoesNotReadIsDisconnected() throws Exception {
        fixture = new GatewayFixture(
                GatewayFixture.Options.defaults().withWriteTimeoutMs(300), Set.of(GatewaySafeguard.STREAM_BOUND));
        try (RawClient client = openStream()) {
            sendFrames().awaitCancel();
            while (fixture.gateway.inFlight() > 0 || fixture.gateway.openRequests() > 0) {
                Thread.onSpinWait();
            }
            assertFalse(client.readAll().contains("[DONE]"));
        }
    }

    @Test
    public void pendingTextIsMergedWithoutLoss() {
        EventBuffer buffer =
                new EventBuffer(EventBuffer.MAX_SEPARATE_PARTS + 3, text -> text.getBytes(StandardCharsets.UTF_8));
        List<String> received = new ArrayList<>();
        boolean[] isComplete = {false};
        BaseSubscriber<byte[]> subscriber = new BaseSubscriber<>() {
            @Override
            protected void hookOnSubscribe(Subscription subscription) {
                // Requests no events yet.
            }

            @Override
            protected void hookOnNext(byte[] event) {
                received.add(new String(event, StandardCharsets.UTF_8));
            }

            @Override
            protected void hookOnComplete() {
                isComplete[0] = true;
            }
        };
        buffer.start("start".getBytes(StandardCharsets.UTF_8));
        buffer.events(() -> {}).subscribe(subscriber);
        for (int i = 0; i < EventBuffer.MAX_SEPARATE_PARTS; i++) {
            assertTrue(buffer.addText("a"));
        }
        assertTrue(buffer.addText("bcd"));
        assertFalse(buffer.addText("e"));
        assertEquals(received, List.of());
        subscriber.request(EventBuffer.MAX_SEPARATE_PARTS);
        assertEquals(received.get(0), "start");
        assertTrue(received.stream().skip(1).allMatch("a"::equals), received.toString());
        subscriber.request(1);
        assertEquals(received.get(EventBuffer.MAX_SEPARATE_PARTS), "abcd");
        assertTrue(buffer.addText("e"));
        buffer.finish("end".getBytes(StandardCharsets.UTF_8));
        subscriber.request(1);
        assertFalse(isComplete[0]);
        subscriber.request(1);
        assertEquals(received.subList(EventBuffer.MAX_SEPARATE_PARTS + 1, received.size()), List.of("e", "end"));
        assertTrue(isComplete[0]);
    }
}
