package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * State and operations that the steps of the fault run share.
 *
 * <p>Not thread-safe.
 */
final class FaultContext {

    /**
     * Maximum wait for a condition, far above the bounds of the design. The result of a step depends on conditions
     * only, not on the time until they hold.
     */
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int POLL_MS = 50;

    /**
     * Requests that warm up the decode engines. The cold start ramp of each of the two engines reaches a limit of 8
     * requests after 7 successful ones; the number is higher because placement may be uneven.
     */
    private static final int WARM_UP_REQUESTS = 24;

    private static final String WARM_UP =
            "{\"model\": \"" + DemoRelease.MODEL + "\", \"prompt\": \"warm\", \"max_tokens\": 1}";

    private final Cluster cluster;
    private final GatewayClient client;
    private final DemoSteps steps;
    private final Random random;
    private final String key;
    private final Api api = new Api();

    FaultContext(Cluster cluster, GatewayClient client, DemoSteps steps, long seed, String key) {
        this.cluster = cluster;
        this.client = client;
        this.steps = steps;
        this.random = new Random(seed);
        this.key = key;
    }

    Cluster cluster() {
        return cluster;
    }

    GatewayClient client() {
        return client;
    }

    DemoSteps steps() {
        return steps;
    }

    Random random() {
        return random;
    }

    /** Returns the API key of the team that sends the requests. */
    String key() {
        return key;
    }

    /** Opens streams at a gateway and waits until each has received its first event. */
    List<StreamedResponse> openStreams(int gateway, String apiKey, int count, int maxTokens) {
        // Without warm-up the cold start ramp of a restarted sidecar would admit the streams one after the other.
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            client.sendTo(gateway, "/v1/completions", WARM_UP, "Authorization", "Bearer " + apiKey);
        }
        List<StreamedResponse> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            // Every second prompt is too long to be prefilled by the decode engine, so a prefill server is used.
            String prompt = "open stream ".repeat(i % 2 == 0 ? 1 : 400);
            StreamedResponse[] stream = new StreamedResponse[1];
            await("stream open at gateway-" + gateway, () -> {
                if (stream[0] == null || stream[0].isEnded()) {
                    stream[0] = StreamedResponse.open(cluster.gatewayUrl(gateway), apiKey, prompt, maxTokens);
                }
                return stream[0].isOpen();
            });
            streams.add(stream[0]);
        }
        return streams;
    }

    /** Waits until every stream has ended. */
    void awaitEnd(List<StreamedResponse> streams) {
        await("end of all streams", () -> streams.stream().allMatch(StreamedResponse::isEnded));
    }

    /** Waits until no engine holds memory blocks. */
    void awaitFreeBlocks() {
        await("release of all memory blocks", () -> heldBlocks() == 0);
    }

    /** Returns the total number of memory blocks in use at all engines, or -1 if an engine does not respond. */
    int heldBlocks() {
        int blocks = 0;
        for (Cluster.Backend backend : cluster.backends()) {
            if (backend.kind().equals("plain")) {
                continue;
            }
            try {
                int held = api.send("GET", Cluster.backendUrl(backend) + "/standin/state", null)
                        .json()
                        .path("heldBlocks")
                        .asInt(-1);
                if (held < 0) {
                    return -1;
                }
                blocks += held;
            } catch (IOException e) {
                return -1;
            }
        }
        return blocks;
    }

    /** Returns a random backend server of a kind; the seed determines which. */
    Cluster.Backend chooseBackend(String kind) {
        List<Cluster.Backend> backends = cluster.backends().stream()
                .filter(backend -> backend.kind().equals(kind))
                .toList();
        return backends.get(random.nextInt(backends.size()));
    }

    /** Waits until a process has ended. */
    void awaitExit(String name) {
        await("end of " + name, () -> !cluster.processes().get(name).isAlive());
    }

    /** Waits until the condition holds; throws {@link IllegalStateException} if it does not hold in time. */
    void await(String what, BooleanSupplier condition) {
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
