package io.chivehollow.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Entry point of the demo; exits with 0 only if every step has the expected outcome.
 *
 * <p>Used by one thread.
 */
public final class Demo {

    private Demo() {}

    /** Runs the demo; {@code --keep} keeps the system running until the process is terminated. */
    public static void main(String[] args) throws IOException, InterruptedException {
        boolean isKeptRunning = Arrays.asList(args).contains("--keep");
        Path folder = Files.createTempDirectory("chivehollow-demo");
        boolean isPassed = false;
        Cluster cluster = Cluster.start(Path.of("").toAbsolutePath(), folder);
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
        try {
            DemoSteps steps = new DemoSteps(cluster);
            isPassed = run(steps);
            if (isKeptRunning) {
                printAddresses(cluster, steps.createKey("desk"));
                Thread.currentThread().join();
            }
        } catch (IllegalStateException | IOException e) {
            System.out.println("demo failed: " + e.getMessage());
        } finally {
            cluster.close();
        }
        if (!isPassed) {
            System.out.println("logs are in " + folder);
            System.exit(1);
        }
        deleteFolder(folder);
    }

    private static boolean run(DemoSteps steps) throws IOException {
        steps.prepare();
        String desk = steps.createKey("desk");
        String archive = steps.createKey("archive");
        steps.sendLongPrompt(archive);
        steps.sendTooLongPrompt(archive);
        steps.streamChat(desk);
        steps.sendOrderTwice(desk);
        steps.useWithdrawnKey("desk");
        steps.exceedRateLimit(steps.createKey("small"));
        steps.checkBackends();
        List<Outcome> outcomes = steps.outcomes();
        System.out.printf("%-20s %-6s %-55s %s%n", "step", "", "expected", "got");
        for (Outcome outcome : outcomes) {
            System.out.printf(
                    "%-20s %-6s %-55s %s%n",
                    outcome.step(), outcome.isPassed() ? "ok" : "FAILED", outcome.expected(), outcome.actual());
        }
        long failed = outcomes.stream().filter(outcome -> !outcome.isPassed()).count();
        System.out.printf("demo: %d passed, %d failed%n", outcomes.size() - failed, failed);
        return failed == 0;
    }

    private static void printAddresses(Cluster cluster, String key) {
        for (int i = 0; i < cluster.gateways(); i++) {
            System.out.println("gateway " + i + ": " + cluster.gatewayUrl(i));
        }
        String url = cluster.gatewayUrl(0);
        System.out.println("curl -s " + url + "/v1/chat/completions -H 'Authorization: Bearer " + key
                + "' -d '{\"model\": \"" + DemoRelease.MODEL
                + "\", \"stream\": true, \"max_tokens\": 16, \"messages\": [{\"role\": \"user\", \"content\":"
                + " \"hello\"}]}'");
        System.out.println("curl -s " + url + "/orders -H 'Authorization: Bearer " + key + "' -H 'Idempotency-Key: "
                + DemoSteps.newIdempotencyKey() + "' -d '{\"sheets\": 1}'");
        System.out.println("target/chivehollow status --gateway " + url + " --operator-key-file "
                + cluster.folder().resolve("operator-key"));
        System.out.println("Press Ctrl-C to stop.");
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
