package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a graceful shutdown that interrupts open requests before the shutdown time is over, or never ends. */
@Test(singleThreaded = true, timeOut = 120_000)
public class ShutdownHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private int readiness() throws Exception {
        return fixture.send(HttpRequest.newBuilder(fixture.uri("/readyz")).build())
                .statusCode();
    }

    @Test
    public void openRequestsFinishDuringShutdown() throws Exception {
        assertEquals(readiness(), 200);
        CompletableFuture<HttpResponse<String>> before =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(true)));
        FakeSidecar.Call first = fixture.runUntilDecodeStart();
        first.sendTokens(0, "one");
        CompletableFuture<ShutdownReport> shutdown = fixture.gateway.shutDown();
        assertEquals(readiness(), 503);
        CompletableFuture<HttpResponse<String>> during =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
        FakeSidecar.Call second = fixture.runUntilDecodeStart();
        HttpRequest models = fixture.requestWithKey("/v1/models").build();
        HttpResponse<String> refused = fixture.send(models);
        while (!refused.body().contains("shutting_down")) {
            refused = fixture.send(models);
        }
        assertTrue(refused.body().contains("\"not_run\":true"));
        assertFalse(shutdown.isDone());
        first.sendTokens(1, "two");
        first.sendGenerationDone(2);
        second.sendGenerationDone(0);
        assertTrue(
                before.get().body().endsWith("data: [DONE]\n\n"), before.get().body());
        assertEquals(during.get().statusCode(), 200);
        assertEquals(shutdown.get().interrupted(), List.of());
    }

    /** Guards against a shutdown that never ends, and against interrupted requests that are not reported. */
    @Test
    public void requestsOpenAfterTheShutdownTimeAreReported() throws Exception {
        fixture.close();
        fixture = new GatewayFixture(GatewayFixture.Options.defaults().withShutdownMs(300));
        CompletableFuture<HttpResponse<String>> open =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(true)));
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "one");
        ShutdownReport report = fixture.gateway.shutDown().get();
        assertEquals(report.interrupted().size(), 1);
        decode.awaitCancel();
        String body = open.get().body();
        assertTrue(body.contains("\"code\":\"shutting_down\"")
                && body.contains(report.interrupted().get(0).value()));
        assertFalse(body.contains("[DONE]"));
    }
}
