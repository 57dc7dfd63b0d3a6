package io.chivehollow.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A simulated plain service: an HTTP service that is not an inference engine and records the calls that it has run in a
 * ledger.
 *
 * <p>Thread-safe. A call is in the ledger if and only if it has been run; the entry is added when the run begins.
 */
public final class StandInPlainService implements AutoCloseable {

    private final PlainServiceOptions options;
    private final StandInServer server;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final List<LedgerEntry> ledger = new ArrayList<>();
    private final Map<String, Set<String>> headersSeen = new ConcurrentHashMap<>();

    private StandInPlainService(PlainServiceOptions options) {
        this.options = options;
        this.server = StandInServer.start(options.port(), this::onRequest);
    }

    /** Starts a service on the loopback interface. */
    public static StandInPlainService start(PlainServiceOptions options) {
        return new StandInPlainService(options);
    }

    /** Returns the address on which the service listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the calls that have been run, in order. */
    public List<LedgerEntry> ledger() {
        synchronized (ledger) {
            return List.copyOf(ledger);
        }
    }

    /** Returns the values of all request headers received so far, by the header's name in lower case. */
    public Map<String, Set<String>> headersSeen() {
        return new TreeMap<>(headersSeen);
    }

    private void onRequest(StandInExchange exchange) {
        if (exchange.path().equals("/ledger") && exchange.method().equals("GET")) {
            exchange.respondJson(200, ledger());
            return;
        }
        if (exchange.path().equals("/standin/state")) {
            exchange.respondJson(200, Map.of("name", options.name(), "headers_seen", headersSeen()));
            return;
        }
        if (exchange.path().equals("/health")) {
            exchange.respond(200, "text/plain", "ok");
            return;
        }
        HttpHeaders headers = exchange.headers();
        headers.forEach(header -> headersSeen
                .computeIfAbsent(header.getKey().toLowerCase(Locale.ROOT), name -> ConcurrentHashMap.newKeySet())
                .add(header.getValue()));
        PlainServiceOptions.Failure failure = failureOf(exchange);
        if (failure == PlainServiceOptions.Failure.REFUSE) {
            exchange.respondJson(500, Map.of("service", options.name(), "ran", false));
            return;
        }
        if (failure == PlainServiceOptions.Failure.DROP_CALL) {
            exchange.abortConnection();
            return;
        }
        LedgerEntry entry = addToLedger(exchange);
        if (failure == PlainServiceOptions.Failure.HANG) {
            return;
        }
        int delayMs = headers.contains("X-Delay-Ms") ? headers.getInt("X-Delay-Ms") : options.delayMs();
        timers.schedule(() -> respond(exchange, entry, failure != null), delayMs, TimeUnit.MILLISECONDS);
    }

    private PlainServiceOptions.@org.jspecify.annotations.Nullable Failure failureOf(StandInExchange exchange) {
        String header = exchange.headers().get("X-Fail");
        if (header != null) {
            return PlainServiceOptions.Failure.valueOf(
                    header.toUpperCase(Locale.ROOT).replace('-', '_'));
        }
        boolean isFailing = !options.failPath().isEmpty() && exchange.path().startsWith(options.failPath());
        return isFailing ? options.failure() : null;
    }

    private LedgerEntry addToLedger(StandInExchange exchange) {
        String hash = Hashing.sha256().hashBytes(exchange.body()).toString();
        HttpHeaders headers = exchange.headers();
        synchronized (ledger) {
            LedgerEntry entry = new LedgerEntry(
                    ledger.size() + 1,
                    exchange.method(),
                    exchange.path(),
                    headers.get("Idempotency-Key", ""),
                    headers.get("X-Request-Id", ""),
                    hash);
            ledger.add(entry);
            return entry;
        }
    }

    private void respond(StandInExchange exchange, LedgerEntry entry, boolean isResponseDropped) {
        if (isResponseDropped) {
            exchange.abortConnection();
            return;
        }
        exchange.respondJson(200, Map.of("service", options.name(), "ran", true, "call", entry));
    }

    @Override
    public void close() {
        server.close();
        timers.shutdownNow();
    }
}
