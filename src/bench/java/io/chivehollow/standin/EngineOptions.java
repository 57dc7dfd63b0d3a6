package io.chivehollow.standin;

import java.util.Set;

/**
 * Options of a simulated engine.
 *
 * <p>Immutable and thread-safe. All times are multiplied by {@code timeScale}; a small factor shortens tests and
 * the demo.
 *
 * @param port port on the loopback interface; 0 chooses a free port
 * @param name engine id in responses and KV transfer parameters
 * @param timeScale factor of all times below; 1 is real time
 * @param blocks size of the KV cache memory in blocks
 * @param blockTokens tokens of one block
 * @param maxRunning maximum number of requests in one batch
 * @param stepMs duration of a decode step without requests, in milliseconds
 * @param stepPerRequestMs additional duration of a step for each request in decode, in milliseconds
 * @param prefillUsPerToken prefill time of one prompt token that is not cached, in microseconds
 * @param chunkTokens maximum number of prompt tokens that one step prefills
 * @param prefillTtlMs time for which a prefill result is retained, in milliseconds
 * @param cacheBlocks capacity of the prompt prefix cache in blocks
 * @param kvBytesPerToken size of the KV cache of one token in bytes
 * @param linkBytesPerSecond rate of the link over which this engine imports KV caches, in bytes per second
 * @param coldRequests requests that must succeed before a cold engine is warm; 0 starts the engine warm
 * @param coldMs time after which a cold engine is warm regardless of its requests, in milliseconds; 0 disables it
 * @param coldFactor factor of all step durations while the engine is cold
 * @param metricsLagMs age of the load metrics and delay of the cache events, in milliseconds
 * @param eventGap interval of lost cache events: every event whose position, counted from 1, is a multiple of
 *     this is lost; 0 loses none
 * @param isFencingEnforced whether the engine rejects management commands whose fencing number is lower than
 *     one that it has received
 * @param hasAbort whether the engine has an abort endpoint
 * @param outputFraction fraction of max_tokens after which a response ends
 */
public record EngineOptions(
        int port,
        String name,
        double timeScale,
        int blocks,
        int blockTokens,
        int maxRunning,
        double stepMs,
        double stepPerRequestMs,
        double prefillUsPerToken,
        int chunkTokens,
        int prefillTtlMs,
        int cacheBlocks,
        long kvBytesPerToken,
        double linkBytesPerSecond,
        int coldRequests,
        int coldMs,
        double coldFactor,
        int metricsLagMs,
        int eventGap,
        boolean isFencingEnforced,
        boolean hasAbort,
        double outputFraction) {

    private static final Set<String> NAMES = Set.of(
            "port",
            "name",
            "time-scale",
            "blocks",
            "block-tokens",
            "max-running",
            "step-ms",
            "step-per-request-ms",
            "prefill-us-per-token",
            "chunk-tokens",
            "prefill-ttl-ms",
            "cache-blocks",
            "kv-bytes-per-token",
            "link-bytes-per-second",
            "cold-requests",
            "cold-ms",
            "cold-factor",
            "metrics-lag-ms",
            "event-gap",
            "fencing",
            "abort",
            "output-fraction");

    /** Returns the options of a command line of pairs {@code --name value}; options that are not given have their
     * defaults. */
    public static EngineOptions parse(String... args) {
        StandInArguments arguments = StandInArguments.parse(args, NAMES);
        return new EngineOptions(
                arguments.integer("port", 0),
                arguments.text("name", "engine"),
                arguments.number("time-scale", 1.0),
                arguments.integer("blocks", 64),
                arguments.integer("block-tokens", 4096),
                arguments.integer("max-running", 20),
                arguments.number("step-ms", 20),
                arguments.number("step-per-request-ms", 0.5),
                arguments.number("prefill-us-per-token", 30),
                arguments.integer("chunk-tokens", 2048),
                arguments.integer("prefill-ttl-ms", 800),
                arguments.integer("cache-blocks", 32),
                (long) arguments.number("kv-bytes-per-token", 131_072),
                arguments.number("link-bytes-per-second", 10e9),
                arguments.integer("cold-requests", 0),
                arguments.integer("cold-ms", 0),
                arguments.number("cold-factor", 8),
                arguments.integer("metrics-lag-ms", 1000),
                arguments.integer("event-gap", 10),
                arguments.text("fencing", "honour").equals("honour"),
                arguments.text("abort", "yes").equals("yes"),
                arguments.number("output-fraction", 1.0));
    }
}
