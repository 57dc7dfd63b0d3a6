package io.chivehollow.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a simulated engine that is more reliable than the environment that docs/design.md describes.
 *
 * <p>Covers lost cache events, engines that ignore fencing numbers, restarts that discard all requests, and cold
 * starts.
 */
public class StandInEngineTest {

    private final HttpClient client = HttpClient.newHttpClient();

    private HttpResponse<String> post(StandInEngine engine, String path, String body)
            throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(uri(engine, path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private String get(StandInEngine engine, String path) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(uri(engine, path)).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static URI uri(StandInEngine engine, String path) {
        return URI.create("http://127.0.0.1:" + engine.address().getPort() + path);
    }

    @Test
    public void cacheEventsHaveGapsAndResponsesReportCachedTokens() throws Exception {
        try (StandInEngine engine = StandInEngine.start(EngineOptions.parse(
                "--time-scale", "0.01", "--block-tokens", "1", "--blocks", "100", "--event-gap", "3"))) {
            String body = "{\"prompt\":\"" + "abcd".repeat(6) + "\",\"max_tokens\":1}";
            post(engine, "/v1/completions", body);
            String second = post(engine, "/v1/completions", body).body();

            assertEquals(json(second).path("standin").path("cached_tokens").asInt(), 5);
            JsonNode events = json(get(engine, "/kv_events"));
            while (events.size() < 4) {
                events = json(get(engine, "/kv_events"));
            }
            List<Integer> sequences = IntStream.range(0, 4)
                    .mapToObj(json(get(engine, "/kv_events"))::get)
                    .map(event -> event.path("sequence").asInt())
                    .toList();
            assertEquals(sequences, List.of(0, 1, 3, 4));
        }
    }

    @Test
    public void oldFencingNumberIsRejectedOnlyIfFencingIsEnforced() throws Exception {
        for (boolean isEnforced : new boolean[] {true, false}) {
            String option = isEnforced ? "honour" : "ignore";
            try (StandInEngine engine = StandInEngine.start(EngineOptions.parse("--fencing", option))) {
                post(engine, "/admin/role", "{\"fencing_number\":5}");
                int status =
                        post(engine, "/admin/role", "{\"fencing_number\":4}").statusCode();
                assertEquals(status, isEnforced ? 409 : 200);
            }
        }
    }

    @Test
    public void restartChangesTheBootIdAndReleasesAllBlocks() throws Exception {
        try (StandInEngine engine = StandInEngine.start(EngineOptions.parse("--time-scale", "100000"))) {
            String bootId = engine.state().bootId();
            client.sendAsync(
                    HttpRequest.newBuilder(uri(engine, "/v1/completions"))
                            .POST(HttpRequest.BodyPublishers.ofString("{\"prompt\":\"a\"}"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            while (engine.state().heldBlocks() == 0) {
                Thread.sleep(1);
            }

            engine.restart();

            assertNotEquals(engine.state().bootId(), bootId);
            assertEquals(engine.state().heldBlocks(), 0);
            assertTrue(engine.state().isCold());
        }
    }

    @Test
    public void coldEngineBecomesWarmAfterEnoughTimeOrRequests() throws Exception {
        for (String[] options :
                new String[][] {{"--cold-requests", "1"}, {"--cold-requests", "99", "--cold-ms", "1"}}) {
            try (StandInEngine engine = StandInEngine.start(EngineOptions.parse(options))) {
                assertTrue(engine.state().isCold());
                post(engine, "/v1/completions", "{\"prompt\":\"a\",\"max_tokens\":1}");
                assertFalse(engine.state().isCold());
            }
        }
    }

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }
}
