package io.chivehollow.benchmark;

import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Creates release notes for the target size of an installation: 200 teams, 32 models, 600 backend servers and 5 failure
 * domains.
 *
 * <p>Stateless and thread-safe.
 */
final class TargetSizeRelease {

    private static final int TEAMS = 200;
    private static final int MODELS = 32;
    private static final int SERVERS = 600;
    private static final int DOMAINS = 5;

    private TargetSizeRelease() {}

    /** Returns a release note that adds all teams, failure domains, models and pools. */
    static String noteAddingEverything(long number) {
        String teams = list(TEAMS, TargetSizeRelease::team);
        String domains = list(DOMAINS, i -> "{\"id\": \"domain-%d\"}".formatted(i));
        String models =
                list(MODELS, i -> "{\"id\": \"model-%d\", \"context_tokens\": 131072, \"default_output_tokens\": 512}"
                        .formatted(i));
        String pools = list(2 * MODELS, TargetSizeRelease::pool);
        return "{\"note_id\": \"note-%d\", \"number\": %d, \"operator\": \"benchmark\", \"added\": {"
                        .formatted(number, number)
                + "\"teams\": [" + teams + "], \"domains\": [" + domains + "], \"models\": [" + models
                + "], \"pools\": [" + pools + "]}}";
    }

    /** Returns a release note that changes the rate limit of one team. */
    static String noteChangingOneRate(long number) {
        String changed = team(0).replace("10000", String.valueOf(10_000 + number));
        return "{\"note_id\": \"note-%d\", \"number\": %d, \"operator\": \"benchmark\",".formatted(number, number)
                + " \"changed\": {\"teams\": [" + changed + "]}}";
    }

    private static String team(int index) {
        return "{\"id\": \"team-%d\", \"rate_tokens_per_second\": 10000, \"burst_tokens\": 50000, \"weight\": 1}"
                .formatted(index);
    }

    private static String pool(int index) {
        String role = index % 2 == 0 ? "PREFILL" : "DECODE";
        int perPool = SERVERS / (2 * MODELS);
        String servers = list(perPool, i -> server(index * perPool + i));
        return "{\"id\": \"pool-%d\", \"role\": \"%s\", \"models\": [\"model-%d\"], \"servers\": [%s]}"
                .formatted(index, role, index / 2, servers);
    }

    private static String server(int index) {
        return "{\"id\": \"server-%d\", \"domain\": \"domain-%d\", \"sidecar_address\": \"10.0.%d.%d:7000\"}"
                .formatted(index, index % DOMAINS, index / 250, index % 250 + 1);
    }

    private static String list(int count, IntFunction<String> item) {
        return IntStream.range(0, count).mapToObj(item).collect(Collectors.joining(", "));
    }
}
