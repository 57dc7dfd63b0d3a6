package io.chivehollow.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A simulated engine with continuous batching, KV cache memory in blocks, a prefix cache, KV transfer and cold starts.
 *
 * <p>Thread-safe: all state is guarded by this object. Blocks are counted exactly: the sum over all live jobs and
 * retained prefill results is the number of held blocks.
 */
public final class StandInEngine implements AutoCloseable {

    /** Factor of the step duration while a cold engine has more requests than it can handle. */
    private static final double OVERLOAD_STEP_TIME_FACTOR = 50;

    private static final Set<String> COMMAND_PATHS =
            Set.of("/v1/load_lora_adapter", "/admin/load_model", "/admin/role");

    private final EngineOptions options;
    private final String startId = Long.toHexString(System.nanoTime());
    private final StandInServer server;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final KvImporter importer = new KvImporter();
    private final Map<String, EngineJob> jobs = new LinkedHashMap<>();
    private final Map<String, Set<String>> headersSeen = new ConcurrentHashMap<>();
    private final List<String> commands = new ArrayList<>();
    private PrefixCache cache;
    private long bootNumber;
    private int heldBlocks;
    private long nextBlockId = 1;
    private boolean isStepScheduled;
    private boolean isHanging;
    private boolean isLinkStalled;
    private boolean isCold;
    private boolean isOverloaded;
    private int coldSuccesses;
    private long coldSinceMs = nowMs();
    private long linkFreeAtMs;
    private long highestFencingNumber;
    private int peakRunning;
    private int peakRunningCold;
    private int overloads;
    private int completed;
    private int wastedPrefills;
    private String reportedMetrics = "";

    private StandInEngine(EngineOptions options) {
        this.options = options;
        this.cache = new PrefixCache(options);
        this.isCold = options.coldRequests() > 0;
        this.server = StandInServer.start(options.port(), this::onRequest);
        synchronized (this) {
            boot();
            reportMetrics();
        }
        long lagMs = Math.max(1, scaledMs(options.metricsLagMs()));
        timers.scheduleWithFixedDelay(this::reportMetrics, lagMs, lagMs, TimeUnit.MILLISECONDS);
    }

    /** Starts an engine on the loopback interface. */
    public static StandInEngine start(EngineOptions options) {
        return new StandInEngine(options);
    }

    /** Returns the address on which the engine listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the output with which an engine responds to a prompt at {@code /v1/completions}. */
    public static String expectedOutput(String prompt, int tokens) {
        StringBuilder text = new StringBuilder(EngineJob.digest(prompt));
        for (int i = 2; i <= tokens; i++) {
            text.append(" w").append(i);
        }
        return text.toString();
    }

    /** Discards all requests and all memory and changes the boot id, like a process that restarts. */
    public synchronized void restart() {
        jobs.values().forEach(job -> job.exchange.abortConnection());
        server.closeConnections();
        jobs.clear();
        heldBlocks = 0;
        cache = new PrefixCache(options);
        turnCold();
        boot();
    }

    /** Makes the engine cold without notifying clients. */
    public synchronized void turnCold() {
        isCold = true;
        coldSuccesses = 0;
        coldSinceMs = nowMs();
    }

    /** Stops or resumes all work; a hanging engine responds only to paths below {@code /standin/}. */
    public synchronized void setHanging(boolean isHanging) {
        this.isHanging = isHanging;
        scheduleStep();
    }

    /** Sets whether the KV imports that start from now on never end. */
    public synchronized void setLinkStalled(boolean isLinkStalled) {
        this.isLinkStalled = isLinkStalled;
    }

    /** Returns the current state and the counters. */
    public synchronized EngineState state() {
        return new EngineState(
                bootId(),
                heldBlocks,
                List.copyOf(jobs.keySet()),
                isCold,
                peakRunning,
                peakRunningCold,
                overloads,
                completed,
                wastedPrefills,
                List.copyOf(commands),
                new TreeMap<>(headersSeen));
    }

    private void boot() {
        bootNumber++;
        server.setFixedHeaders(Map.of("X-Boot-Id", bootId()));
    }

    private String bootId() {
        return options.name() + "-" + startId + "-" + bootNumber;
    }

    private synchronized void onRequest(StandInExchange exchange) {
        if (exchange.path().startsWith("/standin/")) {
            onControlRequest(exchange);
            return;
        }
        exchange.headers().forEach(header -> headersSeen
                .computeIfAbsent(header.getKey().toLowerCase(Locale.ROOT), name -> ConcurrentHashMap.newKeySet())
                .add(header.getValue()));
        if (isHanging) {
            return;
        }
        switch (exchange.path()) {
            case "/health" -> exchange.respond(200, "text/plain", "");
            case "/metrics" -> exchange.respondAndKeepOpen(200, "text/plain; version=0.0.4", reportedMetrics);
            case "/v1/completions", "/v1/chat/completions" -> onGenerate(exchange);
            case "/abort_request" -> onAbort(exchange);
            case "/kv_events" -> {
                List<String> since =
                        new QueryStringDecoder(exchange.uri()).parameters().getOrDefault("since", List.of("0"));
                exchange.respondJson(200, cache.eventsSince(Long.parseLong(since.get(0)), nowMs()));
            }
            default -> {
                if (COMMAND_PATHS.contains(exchange.path())) {
                    onCommand(exchange);
                } else {
                    exchange.respondJson(404, Map.of("error", "unknown path"));
                }
            }
        }
    }

    private void onControlRequest(StandInExchange exchange) {
        JsonNode body = StandInJson.read(exchange.body());
        switch (exchange.path()) {
            case "/standin/state" -> exchange.respondJson(200, state());
            case "/standin/cold" -> {
                turnCold();
                exchange.respondJson(200, Map.of());
            }
            case "/standin/restart" -> {
                exchange.respondJson(200, Map.of());
                timers.schedule(this::restart, 20, TimeUnit.MILLISECONDS);
            }
            case "/standin/hang" -> {
                setHanging(body.path("on").asBoolean(true));
                exchange.respondJson(200, Map.of());
            }
            case "/standin/stall" -> {
                setLinkStalled(body.path("on").asBoolean(true));
                exchange.respondJson(200, Map.of());
            }
            case "/standin/kv/claim" -> onKvClaim(exchange, body);
            case "/standin/kv/finish" -> onKvFinish(exchange, body);
            default -> exchange.respondJson(404, Map.of("error", "unknown path"));
        }
    }

    private void onGenerate(StandInExchange exchange) {
        String id = exchange.headers().get("X-Request-Id", "anonymous-" + nextBlockId);
        EngineJob job = new EngineJob(id, exchange, StandInJson.read(exchange.body()));
        if (jobs.containsKey(id)) {
            exchange.respondJson(400, Map.of("error", "request id " + id + " is in use by another request"));
            return;
        }
        if (job.neededBlocks(options.blockTokens()) > options.blocks()) {
            exchange.respondJson(400, Map.of("error", "request needs more memory blocks than the engine has"));
            return;
        }
        jobs.put(id, job);
        exchange.onDisconnect(() -> endJob(job, false));
        updateLoad();
        admitWaiting();
        scheduleStep();
    }

    /** Updates the peak load, and whether the engine is cold and overloaded. */
    private void updateLoad() {
        boolean isColdTimeOver = options.coldMs() > 0 && nowMs() - coldSinceMs >= scaledMs(options.coldMs());
        isCold &= !isColdTimeOver;
        int running = (int) jobs.values().stream()
                .filter(job -> job.state != EngineJob.State.RETAINED)
                .count();
        peakRunning = Math.max(peakRunning, running);
        if (!isCold) {
            isOverloaded = false;
            return;
        }
        peakRunningCold = Math.max(peakRunningCold, running);
        // Each successful request lets a cold engine handle one more concurrent request.
        boolean isOverLimit = running > 1 + coldSuccesses;
        if (isOverLimit && !isOverloaded) {
            overloads++;
        }
        isOverloaded = isOverLimit;
    }

    private void admitWaiting() {
        List<EngineJob> waiting = jobs.values().stream()
                .filter(job -> job.state == EngineJob.State.WAITING)
                .sorted(Comparator.comparingInt(job -> job.priority))
                .toList();
        for (EngineJob job : waiting) {
            int needed = job.neededBlocks(options.blockTokens());
            long active = jobs.values().stream().filter(StandInEngine::isActive).count();
            if (active >= options.maxRunning() || heldBlocks + needed > options.blocks()) {
                return;
            }
            heldBlocks += needed;
            job.blocks = needed;
            job.firstBlockId = nextBlockId;
            nextBlockId += needed;
            if (job.kvSource != null) {
                job.state = EngineJob.State.IMPORTING;
                startImport(job, job.kvSource);
            } else {
                job.state = EngineJob.State.PREFILL;
                job.cachedTokens = Math.min(cache.cachedTokens(job.prompt), job.promptTokens - 1);
                job.prefilledTokens = job.cachedTokens;
            }
        }
    }

    private static boolean isActive(EngineJob job) {
        return job.state != EngineJob.State.WAITING && job.state != EngineJob.State.RETAINED;
    }

    private void scheduleStep() {
        boolean hasWork = jobs.values().stream()
                .anyMatch(job -> job.state == EngineJob.State.PREFILL || job.state == EngineJob.State.DECODE);
        if (isStepScheduled || isHanging || !hasWork) {
            return;
        }
        isStepScheduled = true;
        BatchStep next = BatchStep.plan(jobs.values(), options);
        double factor = (isCold ? options.coldFactor() : 1) * (isOverloaded ? OVERLOAD_STEP_TIME_FACTOR : 1);
        long delayUs = Math.max(1, Math.round(next.durationMs() * factor * options.timeScale() * 1000));
        timers.schedule(() -> finishStep(next), delayUs, TimeUnit.MICROSECONDS);
    }

    private synchronized void finishStep(BatchStep step) {
        isStepScheduled = false;
        if (isHanging) {
            return;
        }
        List<EngineJob> decoding = jobs.values().stream()
                .filter(job -> job.state == EngineJob.State.DECODE)
                .toList();
        step.chunks().forEach(this::finishChunk);
        decoding.forEach(this::emitToken);
        updateLoad();
        admitWaiting();
        scheduleStep();
    }

    private void finishChunk(BatchStep.Chunk chunk) {
        EngineJob job = chunk.job();
        if (jobs.get(job.id) != job) {
            return;
        }
        job.prefilledTokens += chunk.tokens();
        if (job.prefilledTokens >= job.promptTokens) {
            finishPrefill(job);
        }
    }

    private void finishPrefill(EngineJob job) {
        cache.store(job.prompt, nowMs());
        if (!job.isRemoteDecode) {
            job.state = EngineJob.State.DECODE;
            return;
        }
        job.state = EngineJob.State.RETAINED;
        recordSuccess();
        long ttlMs = scaledMs(options.prefillTtlMs());
        timers.schedule(() -> expirePrefill(job), ttlMs, TimeUnit.MILLISECONDS);
        long kvBytes = job.promptTokens * options.kvBytesPerToken();
        EngineResponses.finishPrefill(job, options.name(), address().getPort(), kvBytes, ttlMs);
    }

    private synchronized void expirePrefill(EngineJob job) {
        if (jobs.get(job.id) == job) {
            wastedPrefills++;
            endJob(job, false);
        }
    }

    private void emitToken(EngineJob job) {
        if (jobs.get(job.id) != job) {
            return;
        }
        job.outputTokens++;
        EngineResponses.sendToken(job, job.outputTokens == 1 ? job.digest : " w" + job.outputTokens);
        int targetTokens = job.targetOutputTokens(options.outputFraction());
        if (job.outputTokens >= targetTokens) {
            EngineResponses.finish(job, targetTokens >= job.maxTokens ? "length" : "stop", options.name());
            endJob(job, true);
        }
    }

    private synchronized void endJob(EngineJob job, boolean isComplete) {
        if (!jobs.remove(job.id, job)) {
            return;
        }
        heldBlocks -= job.blocks;
        if (isComplete) {
            completed++;
            recordSuccess();
        }
        admitWaiting();
        scheduleStep();
    }

    private void recordSuccess() {
        if (isCold) {
            coldSuccesses++;
            isCold = coldSuccesses < options.coldRequests();
        }
    }

    private void startImport(EngineJob job, JsonNode source) {
        if (isLinkStalled) {
            return;
        }
        importer.claim(source).whenComplete((kvBytes, failure) -> {
            synchronized (this) {
                if (failure != null) {
                    failImport(job);
                    return;
                }
                // Imports share the link: each starts when the previous one has ended.
                long durationMs = Math.round(kvBytes * 1000.0 / options.linkBytesPerSecond() * options.timeScale());
                linkFreeAtMs = Math.max(nowMs(), linkFreeAtMs) + durationMs;
                timers.schedule(() -> finishImport(job, source), linkFreeAtMs - nowMs(), TimeUnit.MILLISECONDS);
            }
        });
    }

    private void finishImport(EngineJob job, JsonNode source) {
        importer.finish(source).whenComplete((done, failure) -> {
            synchronized (this) {
                if (failure != null) {
                    failImport(job);
                } else if (jobs.get(job.id) == job) {
                    job.state = EngineJob.State.DECODE;
                    job.prefilledTokens = job.promptTokens;
                    scheduleStep();
                }
            }
        });
    }

    private void failImport(EngineJob job) {
        job.exchange.respondJson(500, Map.of("error", "KV cache of the prefill cannot be imported"));
        endJob(job, false);
    }

    private void onKvClaim(StandInExchange exchange, JsonNode body) {
        EngineJob prefill = findRetainedPrefill(body);
        if (prefill == null) {
            exchange.respondJson(
                    410, Map.of("error", "prefill result not found; it has expired, or was imported or aborted"));
            return;
        }
        prefill.isClaimed = true;
        exchange.respondJson(200, Map.of("kv_bytes", prefill.promptTokens * options.kvBytesPerToken()));
    }

    private void onKvFinish(StandInExchange exchange, JsonNode body) {
        EngineJob prefill = findRetainedPrefill(body);
        if (prefill == null) {
            exchange.respondJson(
                    410, Map.of("error", "prefill result not found; it has expired, or was imported or aborted"));
            return;
        }
        exchange.respondJson(200, Map.of());
        endJob(prefill, false);
    }

    private @org.jspecify.annotations.Nullable EngineJob findRetainedPrefill(JsonNode body) {
        long blockId = body.path("remote_block_ids").path(0).asLong(-1);
        return jobs.values().stream()
                .filter(job -> job.state == EngineJob.State.RETAINED && job.firstBlockId == blockId)
                .findFirst()
                .orElse(null);
    }

    private void onAbort(StandInExchange exchange) {
        if (!options.hasAbort()) {
            exchange.respondJson(404, Map.of("error", "unknown path"));
            return;
        }
        JsonNode body = StandInJson.read(exchange.body());
        boolean isAll = body.path("abort_all").asBoolean(false);
        String id = body.path("rid").asText("");
        List<EngineJob> aborted =
                jobs.values().stream().filter(job -> isAll || job.id.equals(id)).toList();
        for (EngineJob job : aborted) {
            job.exchange.abortConnection();
            endJob(job, false);
        }
        exchange.respondJson(200, Map.of("aborted", aborted.size()));
    }

    private void onCommand(StandInExchange exchange) {
        long number = StandInJson.read(exchange.body()).path("fencing_number").asLong(0);
        if (options.isFencingEnforced() && number < highestFencingNumber) {
            exchange.respondJson(
                    409, Map.of("error", "fencing number " + number + " is lower than one received before"));
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, number);
        commands.add(exchange.path() + " " + number);
        exchange.respondJson(200, Map.of("status", "applied"));
    }

    private synchronized void reportMetrics() {
        long waiting = jobs.values().stream()
                .filter(job -> job.state == EngineJob.State.WAITING)
                .count();
        reportedMetrics = "vllm:num_requests_running " + (jobs.size() - waiting) + "\nvllm:num_requests_waiting "
                + waiting + "\nvllm:kv_cache_usage_perc " + (double) heldBlocks / options.blocks() + "\n";
    }

    private long scaledMs(int ms) {
        return Math.round(ms * options.timeScale());
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void close() {
        server.close();
        timers.shutdownNow();
    }
}
