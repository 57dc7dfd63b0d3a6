package io.chivehollow.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Entry point of the fault run: kills and freezes leaders while orders and release notes are sent, then compares the
 * responses with the ledger of the service and with the release history.
 *
 * <p>Guards against an order that runs twice, a response that says "not run" although the order has run, and a release
 * that is lost or accepted twice. Then runs further steps, whose classes state the failures that they guard against.
 * The results depend on the responses only, not on the times that they took. Used by one thread.
 */
public final class FaultRun {

    private static final int CALLERS = 4;
    private static final int ORDERS_PER_CALLER = 40;
    private static final int MAX_ATTEMPTS = 12;
    private static final int ROUNDS = 4;
    private static final int PAUSE_MS = 1_500;
    /** Longer than a leader's lease. */
    private static final int FREEZE_MS = 4_000;

    private final Cluster cluster;
    private final GatewayClient client;
    private final OrderHistory history = new OrderHistory();
    private final long seed;

    private FaultRun(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.client = new GatewayClient(cluster);
        this.seed = seed;
    }

    /** Runs with the seed given as {@code --seed N}, by default 1; exits with 0 if there are no violations. */
    public static void main(String[] args) throws Exception {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        System.out.println("seed " + seed);
        Path folder = Files.createTempDirectory("chivehollow-faults");
        List<FaultResult> results;
        try (Cluster cluster = Cluster.start(Path.of("").toAbsolutePath(), folder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
            results = new FaultRun(cluster, seed).run();
        }
        long failed = results.stream().filter(result -> !result.isPassed()).count();
        System.out.printf("faults: %d passed, %d failed%n", results.size() - failed, failed);
        if (failed > 0) {
            System.out.println("logs are in " + folder);
            System.exit(1);
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private List<FaultResult> run() throws IOException, InterruptedException {
        DemoSteps steps = new DemoSteps(cluster);
        steps.prepare();
        String key = steps.createKey("desk");
        Operators operators = new Operators(client);
        List<Thread> callers = startCallers(key);
        List<Thread> operatorThreads = operators.start(seed);
        injectFaults();
        for (Thread caller : callers) {
            caller.join();
        }
        operators.stop();
        for (Thread operator : operatorThreads) {
            operator.join();
        }
        steps.awaitReady();
        JsonNode releases = client.callAdmin("GET", new Random(seed), "/admin/v1/releases", null)
                .json()
                .path("releases");
        String detail = "orders: %d sent, %d completed; releases: %d in the history, %d accepted under faults"
                .formatted(history.size(), history.completed(), releases.size(), operators.accepted());
        List<String> violations = new ArrayList<>(history.contradictions(steps.ledger()));
        violations.addAll(operators.contradictions(releases));
        List<FaultResult> results = new ArrayList<>();
        results.add(FaultResult.print("leaders killed and frozen", detail, violations));
        for (FaultStep step : steps(new FaultContext(cluster, client, steps, seed, key))) {
            results.add(run(step));
        }
        return results;
    }

    private List<FaultStep> steps(FaultContext context) {
        return List.of(
                new GatewayShutdownStep(context),
                new GatewayKillStep(context),
                new SidecarKillStep(context, "decode"),
                new SidecarKillStep(context, "prefill"),
                new DomainStep(context, history, "domain-a", true),
                // The only backend server for orders is in this domain.
                new DomainStep(context, history, "domain-b", false),
                new KeyWithdrawalStep(context),
                new BudgetStep(context, this::killLeader));
    }

    /** Kills the leader and returns the index of its gateway. */
    private int killLeader() {
        int leader = leader();
        cluster.processes().get("gateway-" + leader).destroyForcibly();
        return leader;
    }

    /** Kills the current leader. */
    interface LeaderKiller {

        /** Kills the leader and returns the index of its gateway. */
        int kill();
    }

    private static FaultResult run(FaultStep step) {
        List<String> violations;
        try {
            violations = step.run();
        } catch (IllegalStateException | IOException e) {
            violations = List.of(e.toString());
        }
        return FaultResult.print(step.name(), step.detail(), violations);
    }

    private List<Thread> startCallers(String key) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Random random = new Random(seed * CALLERS + i);
            Thread thread = new Thread(() -> sendOrders(key, random), "caller-" + i);
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    private void sendOrders(String key, Random random) {
        for (int i = 0; i < ORDERS_PER_CALLER; i++) {
            String idempotencyKey = DemoSteps.newIdempotencyKey();
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                Api.Response response = client.send(
                        "POST",
                        random,
                        "/orders",
                        "{\"sheets\": 1}",
                        "Authorization",
                        "Bearer " + key,
                        "Idempotency-Key",
                        idempotencyKey);
                history.add(idempotencyKey, response);
                if (response.status() == 200 || response.errorCode().equals("outcome_unknown")) {
                    break;
                }
                pause(200);
            }
            pause(50);
        }
    }

    /** Alternates between killing and restarting the leader, and freezing the leader for longer than its lease. */
    private void injectFaults() throws IOException {
        for (int round = 0; round < ROUNDS; round++) {
            pause(PAUSE_MS);
            int leader = leader();
            Process process = cluster.processes().get("gateway-" + leader);
            if (round % 2 == 0) {
                process.destroyForcibly();
                pause(PAUSE_MS);
                cluster.startGateway(leader);
            } else {
                signal(process, "-STOP");
                pause(FREEZE_MS);
                signal(process, "-CONT");
            }
        }
    }

    private int leader() {
        Random random = new Random(seed);
        while (true) {
            JsonNode status =
                    client.callAdmin("GET", random, "/admin/v1/status", null).json();
            String leader = status.path("leader").asText("");
            if (leader.startsWith("gateway-")) {
                return Integer.parseInt(leader.substring("gateway-".length()));
            }
            pause(100);
        }
    }

    private static void signal(Process process, String signal) throws IOException {
        try {
            new ProcessBuilder("kill", signal, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
