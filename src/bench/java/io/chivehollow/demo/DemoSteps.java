package io.chivehollow.demo;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.Clock;
import io.chivehollow.state.machine.IdempotencyKey;

/**
 * The steps of the demo against a running system.
 *
 * <p>Not thread-safe.
 */
public final class DemoSteps {

    /** Maximum wait for a condition. The outcome of a step depends on the condition, not on the time until it holds. */
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int POLL_MS = 100;
    private static final int LONG_PROMPT_WORDS = 16_000;
    private static final int LONG_PROMPT_MIN_TOKENS = 20_000;
    private static final int TOO_LONG_PROMPT_WORDS = 51_000;
    private static final int CHAT_MAX_TOKENS = 24;
    private static final int SMALL_REQUESTS = 6;

    private final Cluster cluster;
    private final Api api = new Api();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<String> apiKeys = new ArrayList<>();

    /** Returns the steps for a cluster. */
    public DemoSteps(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the outcomes of the steps run so far, in order. */
    List<Outcome> outcomes() {
        return outcomes;
    }

    /** Submits the release note, then waits until every gateway is ready and every backend server is reachable. */
    public void prepare() throws IOException {
        String note = DemoRelease.note(cluster.backends());
        await("release note accepted", () -> {
            cluster.processes().checkAllRunning();
            return callAdmin("POST", 0, "/admin/v1/releases", note).status() == 200;
        });
        awaitReady();
        awaitBackendServers();
    }

    /** Waits until gateway 0 reports all backend servers as reachable. */
    void awaitBackendServers() {
        await("backend servers reachable", () -> {
            JsonNode servers =
                    callAdmin("GET", 0, "/admin/v1/status", null).json().path("backend_servers");
            int reachable = 0;
            for (JsonNode server : servers) {
                reachable += server.path("reachable").asBoolean() ? 1 : 0;
            }
            return reachable == cluster.backends().size();
        });
    }

    /** Waits until all gateways are ready. */
    void awaitReady() {
        for (int i = 0; i < cluster.gateways(); i++) {
            int gateway = i;
            await(
                    "gateway " + i + " ready",
                    () -> tryCall("GET", gateway, "/readyz", null, "").status() == 200);
        }
    }

    /** Creates an API key and waits until all gateways accept it. */
    public String createKey(String team) throws IOException {
        String body = "{\"team\": \"" + team + "\"}";
        JsonNode response = callAdmin("POST", 0, "/admin/v1/keys", body).json();
        String key = response.path("key").asText();
        apiKeys.add(key);
        for (int i = 0; i < cluster.gateways(); i++) {
            int gateway = i;
            await(
                    "key of " + team,
                    () -> tryCall("GET", gateway, "/v1/models", null, key).status() == 200);
        }
        return key;
    }

    /** Sends a long prompt and checks that the response is complete. */
    void sendLongPrompt(String key) throws IOException {
        ObjectNode request = JsonNodeFactory.instance.objectNode();
        request.put("model", DemoRelease.MODEL)
                .put("prompt", "survey dossier ".repeat(LONG_PROMPT_WORDS / 2))
                .put("max_tokens", 40)
                .put("service_tier", "flex");
        Api.Response response = call("POST", 0, "/v1/completions", request.toString(), key);
        JsonNode usage = response.json().path("usage");
        boolean isComplete = response.status() == 200
                && usage.path("prompt_tokens").asInt() >= LONG_PROMPT_MIN_TOKENS
                && usage.path("completion_tokens").asInt() == 40
                && !response.json()
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText()
                        .isEmpty();
        outcomes.add(new Outcome(
                "dossier",
                "200, complete, at least " + LONG_PROMPT_MIN_TOKENS + " prompt tokens",
                response.status() + ", usage " + usage.path("prompt_tokens").asInt() + "+"
                        + usage.path("completion_tokens").asInt() + " " + response.errorMessage(),
                isComplete));
    }

    /** Sends a prompt that fits the model, but whose prefill result expires before its KV cache is transferred. */
    void sendTooLongPrompt(String key) throws IOException {
        ObjectNode request = JsonNodeFactory.instance.objectNode();
        request.put("model", DemoRelease.MODEL)
                .put("prompt", "long ".repeat(TOO_LONG_PROMPT_WORDS))
                .put("max_tokens", 40);
        Api.Response response = call("POST", 0, "/v1/completions", request.toString(), key);
        outcomes.add(new Outcome(
                "too long dossier",
                "400, not run, before any prefill",
                response.status() + " " + response.errorCode() + (isNotRun(response) ? ", not run" : ""),
                response.status() == 400 && isNotRun(response)));
    }

    /** Checks a streamed chat completion with usage. */
    void streamChat(String key) throws IOException {
        ObjectNode request = JsonNodeFactory.instance.objectNode();
        request.put("model", DemoRelease.MODEL)
                .put("max_tokens", CHAT_MAX_TOKENS)
                .put("stream", true);
        request.putObject("stream_options").put("include_usage", true);
        request.putArray("messages").addObject().put("role", "user").put("content", "Draft a label for jam jars.");
        Api.Response response = call("POST", 1, "/v1/chat/completions", request.toString(), key);
        List<String> events = response.events();
        boolean isDone = !events.isEmpty() && events.get(events.size() - 1).equals("[DONE]");
        int tokens = events.stream()
                .mapToInt(event ->
                        Api.parse(event).path("usage").path("completion_tokens").asInt())
                .max()
                .orElse(0);
        outcomes.add(new Outcome(
                "streamed chat",
                "200, " + CHAT_MAX_TOKENS + " tokens, ends with [DONE]",
                response.status() + ", " + events.size() + " events, " + tokens + " tokens, "
                        + (isDone ? "[DONE]" : "not ended") + " " + response.errorMessage(),
                response.status() == 200 && isDone && tokens == CHAT_MAX_TOKENS));
    }

    /** Sends a non-idempotent call twice with one idempotency key, to two gateways; it must run once. */
    void sendOrderTwice(String key) throws IOException {
        String idempotencyKey = newIdempotencyKey();
        String order = "{\"sheets\": 40, \"template\": \"jam\"}";
        Api.Response first = sendOrder(0, key, idempotencyKey, order);
        Api.Response second = sendOrder(2, key, idempotencyKey, order);
        int runs = 0;
        for (JsonNode entry : ledger()) {
            boolean isSame = entry.toString().contains(idempotencyKey);
            runs += isSame ? 1 : 0;
        }
        outcomes.add(new Outcome(
                "order sent twice",
                "200 and the same response to the retry, run once",
                first.status() + " and " + second.status() + ", "
                        + (first.body().equals(second.body()) ? "same response" : "different response " + second.body())
                        + ", run " + runs + " times",
                first.status() == 200 && second.status() == 200 && first.body().equals(second.body()) && runs == 1));
    }

    private Api.Response sendOrder(int gateway, String key, String idempotencyKey, String body) throws IOException {
        return api.send(
                "POST",
                cluster.gatewayUrl(gateway) + "/orders",
                body,
                "Authorization",
                "Bearer " + key,
                "Idempotency-Key",
                idempotencyKey);
    }

    /** Withdraws an API key and checks that every gateway rejects it. */
    void useWithdrawnKey(String team) throws IOException {
        String key = createKey(team);
        int before = tryCall("GET", 1, "/v1/models", null, key).status();
        String keyId = key.split("_", 3)[1];
        int withdrawn = callAdmin("DELETE", 0, "/admin/v1/keys/" + keyId, null).status();
        StringBuilder after = new StringBuilder();
        boolean isRejected = true;
        for (int i = 0; i < cluster.gateways(); i++) {
            int gateway = i;
            await(
                    "key withdrawn",
                    () -> tryCall("GET", gateway, "/v1/models", null, key).status() == 401);
            ObjectNode request = JsonNodeFactory.instance.objectNode();
            request.put("model", DemoRelease.MODEL).put("prompt", "hello").put("max_tokens", 4);
            Api.Response response = call("POST", gateway, "/v1/completions", request.toString(), key);
            isRejected &= response.status() == 401 && isNotRun(response);
            after.append(i == 0 ? "" : ", ").append(response.status());
        }
        outcomes.add(new Outcome(
                "withdrawn key",
                "200 before; 401, not run, at every gateway after",
                before + " before; " + after + " after",
                before == 200 && withdrawn == 200 && isRejected));
    }

    /** Exceeds the team's burst within a time in which its rate adds almost no tokens. */
    void exceedRateLimit(String key) throws IOException {
        int served = 0;
        int limited = 0;
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            ObjectNode request = JsonNodeFactory.instance.objectNode();
            request.put("model", DemoRelease.MODEL).put("prompt", "hello again").put("max_tokens", 250);
            Api.Response response = call("POST", i % cluster.gateways(), "/v1/completions", request.toString(), key);
            served += response.status() == 200 ? 1 : 0;
            limited += response.status() == 429 && isNotRun(response) ? 1 : 0;
        }
        outcomes.add(new Outcome(
                "team over its rate",
                "at most 2 of " + SMALL_REQUESTS + " served, the others 429, not run",
                served + " served, " + limited + " rejected with 429, not run",
                served >= 1 && served <= 2 && served + limited == SMALL_REQUESTS));
    }

    /** Checks that no engine holds memory blocks and that no backend server has received an API key. */
    void checkBackends() throws IOException {
        await("engine memory free", () -> {
            for (Cluster.Backend backend : cluster.backends()) {
                if (!backend.kind().equals("plain") && heldBlocks(backend) != 0) {
                    return false;
                }
            }
            return true;
        });
        boolean isKeySeen = false;
        for (Cluster.Backend backend : cluster.backends()) {
            String state = api.send("GET", Cluster.backendUrl(backend) + "/standin/state", null)
                    .body();
            isKeySeen |= apiKeys.stream().anyMatch(state::contains) || state.contains("\"authorization\"");
        }
        outcomes.add(new Outcome(
                "backend servers",
                "no blocks held, no API key received",
                "no blocks held, " + (isKeySeen ? "API key received" : "no API key received"),
                !isKeySeen));
    }

    /** Returns the number of memory blocks in use, or -1 if the engine does not respond. */
    private int heldBlocks(Cluster.Backend backend) {
        try {
            Api.Response response = api.send("GET", Cluster.backendUrl(backend) + "/standin/state", null);
            return response.json().path("heldBlocks").asInt(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns the ledger of the plain service: the calls that it has run. */
    JsonNode ledger() throws IOException {
        Cluster.Backend service = cluster.backends().stream()
                .filter(backend -> backend.kind().equals("plain"))
                .findFirst()
                .orElseThrow();
        return api.send("GET", Cluster.backendUrl(service) + "/ledger", null).json();
    }

    private static boolean isNotRun(Api.Response response) {
        return response.json().path("error").path("not_run").asBoolean(false);
    }

    /** Returns a new idempotency key, a UUID of version 7. */
    public static String newIdempotencyKey() {
        return IdempotencyKey.create(Clock.system().currentTimeMs(), new SecureRandom())
                .text();
    }

    private Api.Response callAdmin(String method, int gateway, String path, String body) {
        return tryCall(method, gateway, path, body, Cluster.OPERATOR_KEY);
    }

    private Api.Response call(String method, int gateway, String path, String body, String key) throws IOException {
        return api.send(method, cluster.gatewayUrl(gateway) + path, body, "Authorization", "Bearer " + key);
    }

    /** Sends a request; returns a response with status 0 if the connection fails. */
    private Api.Response tryCall(String method, int gateway, String path, String body, String key) {
        try {
            return call(method, gateway, path, body, key);
        } catch (IOException e) {
            return new Api.Response(0, e.toString());
        }
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("Condition not met in time: " + what);
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("Interrupted while waiting for: " + what, e);
            }
        }
    }
}
