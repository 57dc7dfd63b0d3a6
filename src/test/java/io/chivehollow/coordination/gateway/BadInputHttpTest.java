package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against invalid input that receives a wrong status, an error without a code, or reaches a backend server. */
@Test(singleThreaded = true)
public class BadInputHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        assertEquals(
                fixture.prefill.get(0).pendingCalls() + fixture.plain.get(0).pendingCalls(), 0);
        fixture.close();
    }

    private static String chatWith(String extra) {
        return "{\"model\":\"long-1\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]" + extra + "}";
    }

    @DataProvider
    public Object[][] invalidBodies() {
        return new Object[][] {
            {"", 400, "invalid_request", "JSON object"},
            {"{\"model\":", 400, "invalid_request", "not valid JSON"},
            {"[1]", 400, "invalid_request", "JSON object"},
            {"{\"model\":\"a\",\"model\":\"b\"}", 400, "invalid_request", "not valid JSON"},
            {"{\"model\":7}", 400, "invalid_request", "model: "},
            {"{\"model\":\"long-1\"}", 400, "invalid_request", "messages: "},
            {"{\"model\":\"long-1\",\"messages\":[{\"role\":1}]}", 400, "invalid_request", "messages[0].role: "},
            {
                "{\"model\":\"long-1\",\"messages\":[{\"role\":\"user\",\"content\":5}]}",
                400,
                "invalid_request",
                "messages[0].content: "
            },
            {chatWith(",\"max_tokens\":0"), 400, "invalid_request", "max_tokens: "},
            {chatWith(",\"max_completion_tokens\":1.5"), 400, "invalid_request", "max_completion_tokens: "},
            {chatWith(",\"stream\":\"yes\""), 400, "invalid_request", "stream: "},
            {chatWith(",\"stream_options\":{}"), 400, "invalid_request", "stream_options: "},
            {
                chatWith(",\"stream\":true,\"stream_options\":{\"include_usage\":1}"),
                400,
                "invalid_request",
                "stream_options.include_usage: "
            },
            {chatWith(",\"service_tier\":1"), 400, "invalid_request", "service_tier: "},
            {chatWith(",\"n\":2"), 400, "invalid_request", "n: "},
            {chatWith(",\"max_tokens\":5000"), 400, "context_length_exceeded", "1000"},
            {chatWith("").replace("\"x\"", "\"" + "word ".repeat(900) + "\""), 400, "context_length_exceeded", "1000"},
            {chatWith("").replace("long-1", "other"), 404, "model_not_found", "other"},
        };
    }

    @Test(dataProvider = "invalidBodies")
    public void invalidBodyIsRefused(String body, int status, String code, String message) throws Exception {
        HttpResponse<String> response = fixture.send(fixture.post("/v1/chat/completions", body));
        assertEquals(response.statusCode(), status, response.body());
        assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
        assertTrue(response.body().contains(message), response.body());
        assertTrue(response.body().contains("\"not_run\":true"), response.body());
        assertTrue(response.body()
                .contains("\"request_id\":\""
                        + response.headers().firstValue("X-Request-Id").orElse("?") + "\""));
    }

    @Test
    public void tooLargeBodyIsRefused() throws Exception {
        HttpResponse<String> response =
                fixture.send(fixture.post("/v1/chat/completions", chatWith(",\"x\":\"" + "a".repeat(200_000) + "\"")));
        assertEquals(response.statusCode(), 413);
        assertTrue(response.body().contains("body_too_large"));
    }

    /** Guards against a body limit that checks only the declared length, which a chunked body does not have. */
    @Test
    public void tooLargeChunkedBodyIsRefused() throws Exception {
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write("POST /search HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\nAuthorization: Bearer "
                    + fixture.key.text() + "\r\n\r\n");
            client.write("1ffff\r\n" + "a".repeat(0x1ffff) + "\r\n");
            assertTrue(client.readUntil("body_too_large").startsWith("HTTP/1.1 413"));
        }
    }

    @Test
    public void tooLongHeaderIsRefused() throws Exception {
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write("GET /v1/models HTTP/1.1\r\nHost: g\r\nX: " + "a".repeat(10_000) + "\r\n\r\n");
            String response = client.readAll();
            assertTrue(response.startsWith("HTTP/1.1 431") && response.contains("header_too_large"), response);
        }
    }

    @Test
    public void inputThatIsNotHttpIsRefused() throws Exception {
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write("what is this\r\n\r\n");
            assertTrue(client.readAll().startsWith("HTTP/1.1 400"));
        }
    }

    @DataProvider
    public Object[][] incompleteRequests() {
        return new Object[][] {
            {"GET /v1/models HTTP/1.1\r\nHo"},
            {"POST /v1/completions HTTP/1.1\r\nHost: g\r\nContent-Length: 10\r\n\r\nabc"},
        };
    }

    /** Guards against a slow or half-open client that occupies a connection forever. */
    @Test(dataProvider = "incompleteRequests")
    public void incompleteRequestTimesOut(String part) throws Exception {
        fixture.close();
        fixture = new GatewayFixture(GatewayFixture.Options.defaults().withReadTimeoutMs(200));
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            String response = client.write(part).readAll();
            assertTrue(response.startsWith("HTTP/1.1 408") && response.contains("request_timeout"), response);
        }
    }

    @DataProvider
    public Object[][] wrongRequests() {
        return new Object[][] {
            {"GET", "/v1/chat/completions", 405, "method_not_allowed"},
            {"DELETE", "/healthz", 405, "method_not_allowed"},
            {"BREW", "/search", 405, "method_not_allowed"},
            {"GET", "/nothing/here", 404, "route_not_found"},
            {"GET", "/open/../search", 400, "invalid_request"},
            {"GET", "/open/%2e%2e/search", 400, "invalid_request"},
            {"GET", "/open/a%2fb", 400, "invalid_request"},
        };
    }

    @Test(dataProvider = "wrongRequests")
    public void wrongMethodOrPathIsRefused(String method, String path, int status, String code) throws Exception {
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write(method + " " + path + " HTTP/1.1\r\nHost: g\r\nConnection: close\r\nAuthorization: Bearer "
                    + fixture.key.text() + "\r\n\r\n");
            String response = client.readAll();
            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertTrue(response.contains("\"code\":\"" + code + "\""), response);
        }
    }

    @Test
    public void requestOverTheRateIsRefusedWithRetryAfter() throws Exception {
        fixture.budget.refusesAll = true;
        fixture.budget.waitMs = OptionalLong.of(2_001);
        HttpResponse<String> response = fixture.send(fixture.post("/v1/chat/completions", chatWith("")));
        assertEquals(response.statusCode(), 429);
        assertEquals(response.headers().allValues("Retry-After"), List.of("3"));
        assertEquals(fixture.send(fixture.post("/search", "")).headers().allValues("Retry-After"), List.of("3"));
        // The request exceeds the burst and can never succeed.
        fixture.budget.waitMs = OptionalLong.empty();
        HttpResponse<String> aboveBurst = fixture.send(fixture.post("/v1/chat/completions", chatWith("")));
        assertEquals(aboveBurst.headers().allValues("Retry-After"), List.of());
        HttpRequest metrics = HttpRequest.newBuilder(fixture.uri("/metrics")).build();
        String text = fixture.send(metrics).body();
        String series = "chivehollow_gateway_failures{team=\"team-a\",code=\"rate_limited\",not_run=\"true\",} 3.0";
        assertTrue(text.contains(series), text);
    }
}
