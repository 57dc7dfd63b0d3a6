package io.chivehollow.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Two operators who submit release notes with the same numbers and retry them after lost responses.
 *
 * <p>Thread-safe.
 */
final class Operators {

    private static final int OPERATORS = 2;

    private final GatewayClient client;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final Map<String, Integer> statusByNote = new HashMap<>();

    Operators(GatewayClient client) {
        this.client = client;
    }

    /** Starts one thread for each operator and returns the threads, which run until {@link #stop}. */
    List<Thread> start(long seed) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < OPERATORS; i++) {
            int operator = i;
            Thread thread = new Thread(() -> submitAll(operator, new Random(seed + operator)), "operator-" + i);
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    /** Makes the threads end after their current request. */
    void stop() {
        isStopped.set(true);
    }

    private void submitAll(int operator, Random random) {
        for (int attempt = 0; !isStopped.get(); attempt++) {
            JsonNode state =
                    client.callAdmin("GET", random, "/admin/v1/state", null).json();
            long next = state.path("release_number").asLong(-1) + 1;
            if (next <= 0) {
                continue;
            }
            String noteId = "operator-" + operator + "-" + attempt;
            String note =
                    """
                    {"note_id": "%s", "number": %d, "operator": "operator-%d", "changed": {"teams": [
                    {"id": "archive", "rate_tokens_per_second": %d, "burst_tokens": 400000, "weight": 1}]}}
                    """
                            .formatted(noteId, next, operator, 200_000 + next);
            Api.Response response = client.callAdmin("POST", random, "/admin/v1/releases", note);
            while (isRetryNeeded(response) && !isStopped.get()) {
                response = client.callAdmin("POST", random, "/admin/v1/releases", note);
            }
            synchronized (statusByNote) {
                statusByNote.put(noteId, response.status());
            }
        }
    }

    /** Returns whether the response leaves it open if the release was accepted. */
    private static boolean isRetryNeeded(Api.Response response) {
        return response.status() == 0 || response.status() >= 500;
    }

    /** Returns the contradictions between the responses and the release history. */
    List<String> contradictions(JsonNode releases) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> numberByNote = new HashMap<>();
        long expected = 1;
        for (JsonNode release : releases) {
            long number = release.path("number").asLong();
            if (number != expected) {
                violations.add("release history: expected number " + expected + ", found " + number);
            }
            expected = number + 1;
            numberByNote.put(release.path("note_id").asText(), number);
        }
        synchronized (statusByNote) {
            statusByNote.forEach((noteId, status) -> {
                if (status == 200 && !numberByNote.containsKey(noteId)) {
                    violations.add("note " + noteId + " was accepted but is not in the release history");
                }
                if (status == 409 && numberByNote.containsKey(noteId)) {
                    violations.add("note " + noteId + " was rejected with 409 but is in the release history");
                }
            });
        }
        return violations;
    }

    /** Returns the number of accepted notes. */
    long accepted() {
        synchronized (statusByNote) {
            return statusByNote.values().stream()
                    .filter(status -> status == 200)
                    .count();
        }
    }
}
