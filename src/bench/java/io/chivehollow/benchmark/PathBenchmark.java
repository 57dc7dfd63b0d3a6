package io.chivehollow.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.demo.Api;
import io.chivehollow.demo.Cluster;
import io.chivehollow.demo.DemoRelease;
import io.chivehollow.demo.DemoSteps;

/**
 * Measures the latency of direct calls and of calls through a gateway, and the memory, processor time and traffic of
 * each idle process.
 *
 * <p>Options: {@code --rest-only} measures only the idle processes; {@code --settle SECONDS} sets the delay before that
 * measurement, because JIT compilers use processor time in the first minutes. Used by one thread.
 */
public final class PathBenchmark {

    private static final int WARM_UP_REQUESTS = 300;
    private static final int REQUESTS = 1_000;
    private static final int GENERATIONS = 100;
    private static final int IDLE_SECONDS = 20;
    private static final int SETTLE_SECONDS = 5;

    private final Cluster cluster;
    private final Api api = new Api();

    private PathBenchmark(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Runs all measurements and prints them. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("chivehollow-benchmark");
        List<String> options = Arrays.asList(args);
        int settleSeconds = options.contains("--settle")
                ? Integer.parseInt(options.get(options.indexOf("--settle") + 1))
                : SETTLE_SECONDS;
        System.out.println("cores " + Runtime.getRuntime().availableProcessors());
        long startNanos = System.nanoTime();
        try (Cluster cluster = Cluster.start(Path.of("").toAbsolutePath(), folder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
            DemoSteps steps = new DemoSteps(cluster);
            steps.prepare();
            System.out.printf(
                    "13 processes started together, all gateways ready after %d ms%n",
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            PathBenchmark benchmark = new PathBenchmark(cluster);
            String key = steps.createKey("desk");
            benchmark.measureIdle(settleSeconds);
            if (options.contains("--rest-only")) {
                return;
            }
            benchmark.measureIdempotent(key);
            benchmark.measureNonIdempotent(key);
            benchmark.measureGeneration(key);
            benchmark.measureStart();
        }
    }

    private void measureIdle(int settleSeconds) throws IOException, InterruptedException {
        TimeUnit.SECONDS.sleep(settleSeconds);
        Map<String, ProcessUsage> before = readUsages();
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        Map<String, ProcessUsage> after = readUsages();
        System.out.printf("at rest for %d s:%n", IDLE_SECONDS);
        System.out.printf(
                "%-20s %10s %12s %14s %14s%n", "process", "memory MB", "CPU % core", "read bytes/s", "written bytes/s");
        after.forEach((name, usage) -> {
            ProcessUsage start = before.get(name);
            System.out.printf(
                    "%-20s %10.1f %12.2f %14d %14d%n",
                    name,
                    usage.residentKb() / 1024.0,
                    (usage.cpuMs() - start.cpuMs()) / (IDLE_SECONDS * 10.0),
                    (usage.readBytes() - start.readBytes()) / IDLE_SECONDS,
                    (usage.writtenBytes() - start.writtenBytes()) / IDLE_SECONDS);
        });
    }

    private Map<String, ProcessUsage> readUsages() throws IOException {
        Map<String, ProcessUsage> usages = new LinkedHashMap<>();
        for (String name : cluster.processes().names()) {
            if (!name.startsWith("backend-")) {
                usages.put(name, ProcessUsage.read(cluster.processes().get(name).pid()));
            }
        }
        return usages;
    }

    private void measureIdempotent(String key) throws IOException {
        String direct = Cluster.backendUrl(backend("plain")) + "/jobs/1";
        String routed = cluster.gatewayUrl(0) + "/jobs/1";
        System.out.println(
                "idempotent call, direct: " + measureLatencies(WARM_UP_REQUESTS, REQUESTS, () -> get(direct)));
        System.out.println(
                "idempotent call, routed: " + measureLatencies(WARM_UP_REQUESTS, REQUESTS, () -> get(routed)));
        String models = cluster.gatewayUrl(0) + "/v1/models";
        System.out.println("key check only:          "
                + measureLatencies(
                        WARM_UP_REQUESTS, REQUESTS, () -> expectOk(api.send("GET", models, null, bearer(key)))));
    }

    private void measureNonIdempotent(String key) throws IOException {
        String routed = cluster.gatewayUrl(0) + "/orders";
        System.out.println("non-idempotent call:     "
                + measureLatencies(WARM_UP_REQUESTS, REQUESTS, () -> {
                    String[] headers = {
                        "Authorization", "Bearer " + key, "Idempotency-Key", DemoSteps.newIdempotencyKey()
                    };
                    expectOk(api.send("POST", routed, "{\"sheets\": 1}", headers));
                }));
    }

    private void measureGeneration(String key) throws IOException {
        String direct = Cluster.backendUrl(backend("decode")) + "/v1/completions";
        String routed = cluster.gatewayUrl(0) + "/v1/completions";
        System.out.println("one token, sent to one engine:       "
                + measureLatencies(
                        20, GENERATIONS, () -> expectOk(api.send("POST", direct, oneTokenRequest("one two three")))));
        System.out.println("one token, prompt of 4 tokens:       "
                + measureLatencies(
                        20,
                        GENERATIONS,
                        () -> expectOk(api.send("POST", routed, oneTokenRequest("one two three"), bearer(key)))));
        // Longer than direct_prompt_tokens in the release of the demo. All prompts differ, so that no cached prefix
        // shortens the prefill.
        AtomicInteger number = new AtomicInteger();
        System.out.println("one token, prompt of 600 tokens:     "
                + measureLatencies(
                        20,
                        GENERATIONS,
                        () -> expectOk(api.send(
                                "POST",
                                routed,
                                oneTokenRequest(String.format("%03d ", number.incrementAndGet())
                                        .repeat(600)),
                                bearer(key)))));
    }

    private static String oneTokenRequest(String prompt) {
        ObjectNode request = JsonNodeFactory.instance.objectNode();
        return request.put("model", DemoRelease.MODEL)
                .put("prompt", prompt)
                .put("max_tokens", 1)
                .toString();
    }

    private void measureStart() throws IOException, InterruptedException {
        for (int i = 0; i < cluster.gateways(); i++) {
            Process process = cluster.processes().get("gateway-" + i);
            process.destroy();
            process.waitFor();
            long startNanos = System.nanoTime();
            cluster.startGateway(i);
            String ready = cluster.gatewayUrl(i) + "/readyz";
            awaitOk(ready);
            System.out.printf(
                    "start of a gateway with a replica to ready: %d ms%n",
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        }
    }

    private void awaitOk(String url) throws InterruptedException {
        while (true) {
            try {
                if (api.send("GET", url, null).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The gateway does not listen yet.
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private Cluster.Backend backend(String kind) {
        return cluster.backends().stream()
                .filter(backend -> backend.kind().equals(kind))
                .findFirst()
                .orElseThrow();
    }

    private static String[] bearer(String key) {
        return new String[] {"Authorization", "Bearer " + key};
    }

    private void get(String url) throws IOException {
        expectOk(api.send("GET", url, null));
    }

    private static void expectOk(Api.Response answer) {
        if (answer.status() != 200) {
            throw new IllegalStateException("Expected status 200, but got " + answer.status() + ": " + answer.body());
        }
    }

    private static Latencies measureLatencies(int warmUp, int count, MeasuredRequest request) throws IOException {
        Latencies latencies = new Latencies();
        for (int i = 0; i < warmUp + count; i++) {
            long startNanos = System.nanoTime();
            request.send();
            if (i >= warmUp) {
                latencies.add(System.nanoTime() - startNanos);
            }
        }
        return latencies;
    }

    /** A request whose duration is measured. */
    private interface MeasuredRequest {

        void send() throws IOException;
    }
}
