package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against responses that are mixed up, truncated or missing without an error, calls that stay open after a
 * disconnect, and token budget that is not settled. Sidecars fail, refuse and reorder frames at random.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class RandomFaultsTest {

    private static final int REQUESTS = 300;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L, 0}, {2L, 0}, {3L, 0}, {4L, 100}, {5L, 100}};
    }

    @Test(dataProvider = "seeds")
    public void answersAreWholeOrErrors(long seed, int directPromptTokens) throws Exception {
        System.out.println("RandomFaultsTest seed " + seed);
        Random random = new Random(seed);
        GatewayFixture fixture = new GatewayFixture();
        fixture.allowDirect(directPromptTokens);
        try {
            List<RandomSidecar> sidecars = new ArrayList<>();
            for (FakeSidecar sidecar : List.of(
                    fixture.prefill.get(0), fixture.prefill.get(1), fixture.decode.get(0), fixture.decode.get(1))) {
                sidecars.add(sidecar.delegateTo(new RandomSidecar(random.nextLong(), fixture.executor)));
            }
            int complete = 0;
            int cancelled = 0;
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            List<Boolean> streamed = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                streamed.add(random.nextBoolean());
                String body = GatewayFixture.chat(streamed.get(i)).replace("secret-prompt", "word-" + i + "-");
                HttpRequest request = fixture.post("/v1/chat/completions", body);
                responses.add(fixture.sendAsync(request));
                if (random.nextInt(10) == 0) {
                    responses.get(random.nextInt(responses.size())).cancel(true);
                }
            }
            for (int i = 0; i < REQUESTS; i++) {
                try {
                    HttpResponse<String> response = responses.get(i).join();
                    complete += check(response, streamed.get(i), i);
                } catch (CompletionException | java.util.concurrent.CancellationException e) {
                    cancelled++;
                }
            }
            System.out.println("complete " + complete + ", cancelled " + cancelled);
            assertTrue(complete > REQUESTS / 3, "only " + complete + " complete responses");
            while (fixture.gateway.openRequests() > 0 || fixture.gateway.inFlight() > 0) {
                Thread.onSpinWait();
            }
            for (RandomSidecar sidecar : sidecars) {
                while (sidecar.openCalls.get() > 0) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(fixture.budget.settled.size(), fixture.budget.reserved.size());
        } finally {
            fixture.close();
        }
    }

    /** Returns 1 for a complete response and 0 for an explicit error; fails for any other response. */
    private static int check(HttpResponse<String> response, boolean isStreamed, int id) {
        String expected = IntStream.range(0, RandomSidecar.OUTPUT_FRAMES)
                .mapToObj(frame -> id + "." + frame + " ")
                .collect(Collectors.joining());
        String body = response.body();
        if (response.statusCode() != 200) {
            assertTrue(body.contains("\"error\""), body);
            return 0;
        }
        if (!isStreamed) {
            assertTrue(body.contains("\"content\":\"" + expected + "\""), body);
            return 1;
        }
        StringBuilder text = new StringBuilder();
        body.lines().filter(line -> line.contains("\"content\":\"" + id + ".")).forEach(line -> {
            String rest = line.substring(line.indexOf("\"content\":\"") + "\"content\":\"".length());
            text.append(rest, 0, rest.indexOf('"'));
        });
        assertTrue(expected.startsWith(text.toString()), body);
        boolean isDone = body.endsWith("data: [DONE]\n\n");
        boolean isError = body.contains("\"error\":{");
        assertFalse(isDone && isError, body);
        assertTrue(isDone || isError, body);
        assertTrue(!isDone || text.toString().equals(expected), body);
        return isDone ? 1 : 0;
    }
}
