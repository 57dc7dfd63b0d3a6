package io.chivehollow.demo;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The release note of the demo.
 *
 * <p>Stateless and thread-safe.
 */
public final class DemoRelease {

    /** Id of the only model. */
    public static final String MODEL = "long-reader";

    /**
     * Longest prompt that a decode server prefills itself. At 30 us per prompt token, 512 tokens extend the 30 ms step
     * of a full batch to the target of 45 ms.
     */
    private static final int DIRECT_PROMPT_TOKENS = 512;

    private DemoRelease() {}

    /** Returns the release note that adds all teams, domains, models, pools and routes. */
    public static String note(List<Cluster.Backend> backends) {
        return """
                {
                  "note_id": "demo-1", "number": 1, "operator": "demo",
                  "added": {
                    "teams": [
                      {"id": "archive", "rate_tokens_per_second": 200000, "burst_tokens": 400000, "weight": 1},
                      {"id": "desk", "rate_tokens_per_second": 50000, "burst_tokens": 100000, "weight": 1},
                      {"id": "small", "rate_tokens_per_second": 10, "burst_tokens": 600, "weight": 1}
                    ],
                    "domains": [{"id": "domain-a"}, {"id": "domain-b"}, {"id": "domain-c"}],
                    "models": [{"id": "%s", "context_tokens": 65536, "default_output_tokens": 256,
                                "kv_bytes_per_token": 131072, "direct_prompt_tokens": %d,
                                "first_token_target_ms": 560}],
                    "pools": [
                      {"id": "prefill", "role": "PREFILL", "models": ["%s"], "servers": [%s]},
                      {"id": "decode", "role": "DECODE", "models": ["%s"], "servers": [%s]},
                      {"id": "orders", "role": "PLAIN", "servers": [%s]}
                    ],
                    "routes": [
                      {"path": "/orders", "pool": "orders", "open": false, "idempotent": false},
                      {"path": "/jobs", "pool": "orders", "open": true, "idempotent": true}
                    ]
                  }
                }
                """
                .formatted(
                        MODEL,
                        DIRECT_PROMPT_TOKENS,
                        MODEL,
                        servers(backends, "prefill"),
                        MODEL,
                        servers(backends, "decode"),
                        servers(backends, "plain"));
    }

    private static String servers(List<Cluster.Backend> backends, String kind) {
        return backends.stream()
                .filter(backend -> backend.kind().equals(kind))
                .map(backend -> "{\"id\": \"%s\", \"domain\": \"%s\", \"sidecar_address\": \"127.0.0.1:%d\"}"
                        .formatted(backend.id(), backend.domain(), backend.sidecarPort()))
                .collect(Collectors.joining(", "));
    }
}
