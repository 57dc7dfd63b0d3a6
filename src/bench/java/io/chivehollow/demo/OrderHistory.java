package io.chivehollow.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Responses to the callers' orders, for comparison with the ledger of the service that ran them. An order is a
 * non-idempotent call to the route {@code /orders}.
 *
 * <p>Thread-safe.
 */
final class OrderHistory {

    private final Map<String, List<Api.Response>> responsesByKey = new HashMap<>();

    /** Records a response to an order; status 0 means that the connection was lost. */
    synchronized void add(String idempotencyKey, Api.Response response) {
        responsesByKey.computeIfAbsent(idempotencyKey, key -> new ArrayList<>()).add(response);
    }

    /** Returns the number of orders with a response of status 200. */
    synchronized long completed() {
        return responsesByKey.values().stream()
                .filter(responses -> responses.stream().anyMatch(response -> response.status() == 200))
                .count();
    }

    /** Returns the number of orders sent. */
    synchronized int size() {
        return responsesByKey.size();
    }

    /** Returns the contradictions between the responses and the ledger. */
    synchronized List<String> contradictions(JsonNode ledger) {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> runs = new HashMap<>();
        for (JsonNode entry : ledger) {
            runs.merge(entry.path("idempotencyKey").asText(), 1, Integer::sum);
        }
        runs.forEach((key, count) -> {
            if (count > 1) {
                violations.add("order " + key + " ran " + count + " times");
            }
            if (!responsesByKey.containsKey(key)) {
                violations.add("order " + key + " ran but was never sent");
            }
        });
        responsesByKey.forEach((key, responses) -> checkOrder(key, responses, runs.getOrDefault(key, 0), violations));
        return violations;
    }

    private static void checkOrder(String key, List<Api.Response> responses, int runs, List<String> violations) {
        List<String> bodies = responses.stream()
                .filter(response -> response.status() == 200)
                .map(Api.Response::body)
                .distinct()
                .toList();
        if (!bodies.isEmpty() && runs != 1) {
            violations.add("order " + key + " got a response with status 200 but ran " + runs + " times");
        }
        if (bodies.size() > 1) {
            violations.add("order " + key + " got different responses: " + bodies);
        }
        boolean isNotRunOnly = responses.stream()
                .allMatch(response ->
                        response.json().path("error").path("not_run").asBoolean(false));
        if (isNotRunOnly && runs != 0) {
            violations.add("order " + key + " got only responses with \"not run\" but ran");
        }
    }
}
