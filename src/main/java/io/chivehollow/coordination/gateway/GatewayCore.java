package io.chivehollow.coordination.gateway;

import java.util.HexFormat;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.config.ApiKeys.CheckedKey;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.metrics.ScrapeWriter;
import io.chivehollow.settings.GatewaySettings;
import io.chivehollow.settings.Settings;
import io.chivehollow.transport.ConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * State and services shared by all requests of a gateway.
 *
 * <p>Thread-safe.
 */
final class GatewayCore {

    private final Settings settings;
    private final GatewaySettings gatewaySettings;
    private final GatewayServices services;
    private final Set<GatewaySafeguard> disabledSafeguards;
    private final ApiKeys apiKeys;
    private final OpenRequests openRequests = new OpenRequests();
    private final InFlightCounter inFlight = new InFlightCounter();
    private final RetryBudget retryBudget = new RetryBudget();
    private final BackendServers servers;
    private final CallSession callSession;
    private final GatewayMetrics metrics;
    private final ScrapeWriter scrapeWriter;
    private volatile boolean isReady = true;
    private volatile boolean isAccepting = true;

    GatewayCore(
            Settings settings,
            GatewaySettings gatewaySettings,
            GatewayServices services,
            Set<GatewaySafeguard> disabledSafeguards) {
        this.disabledSafeguards = Set.copyOf(disabledSafeguards);
        this.settings = settings;
        this.gatewaySettings = gatewaySettings;
        this.services = services;
        this.apiKeys = ApiKeys.of(settings.secret());
        this.servers = new BackendServers(
                settings.instance(),
                gatewaySettings.subsetSize(),
                services.placement(),
                services.random(),
                services.clock());
        this.callSession = new CallSession(
                settings.instance(),
                services.control(),
                services.scheduler(),
                newRequestId().value());
        this.metrics = GatewayMetrics.create(services.registry());
        this.scrapeWriter = ScrapeWriter.create(services.registry());
    }

    /** Returns whether a safeguard is enabled, which is always the case outside tests. */
    boolean isEnabled(GatewaySafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }

    Settings settings() {
        return settings;
    }

    GatewaySettings gatewaySettings() {
        return gatewaySettings;
    }

    ConfigView config() {
        return services.config();
    }

    /** Returns the configuration, which may be stale; throws if none has been received yet. */
    Configuration configuration() {
        return services.config()
                .current()
                .orElseThrow(() -> CoordinationException.notRun(
                        ErrorCode.CONFIGURATION_STALE, "This instance has not received a configuration yet"));
    }

    ApiKeys apiKeys() {
        return apiKeys;
    }

    TokenBudget budget() {
        return services.budget();
    }

    ControlCommands control() {
        return services.control();
    }

    ConnectionPool connections() {
        return services.connections();
    }

    RandomGenerator random() {
        return services.random();
    }

    Clock clock() {
        return services.clock();
    }

    Scheduler scheduler() {
        return services.scheduler();
    }

    OpenRequests openRequests() {
        return openRequests;
    }

    InFlightCounter inFlight() {
        return inFlight;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    BackendServers servers() {
        return servers;
    }

    CallSession callSession() {
        return callSession;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    ScrapeWriter scrapeWriter() {
        return scrapeWriter;
    }

    /** Returns whether a load balancer should send requests to this instance. */
    boolean isReady() {
        return isReady && services.config().current().isPresent();
    }

    boolean isAccepting() {
        return isAccepting;
    }

    /** Reports to load balancers that this instance is not ready; requests are still accepted. */
    void markNotReady() {
        isReady = false;
    }

    void stopAccepting() {
        isAccepting = false;
    }

    void checkAccepting() {
        if (!isAccepting) {
            throw CoordinationException.notRun(ErrorCode.SHUTTING_DOWN, "This instance is shutting down");
        }
    }

    RequestId newRequestId() {
        byte[] bytes = new byte[16];
        services.random().nextBytes(bytes);
        return RequestId.of(HexFormat.of().formatHex(bytes));
    }

    RequestContext newContext(
            RequestId id, @Nullable CheckedKey key, RequestClass requestClass, Cancellation cancellation) {
        long now = clock().nanoTime();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(gatewaySettings.requestTimeoutMs());
        return new RequestContext(id, key, requestClass, now, deadline, cancellation);
    }

    /** Returns the queue timeout: how many milliseconds a request may wait for token budget and a backend server. */
    int maxQueueMs(RequestContext context) {
        int queueMs = context.requestClass() == RequestClass.BATCH
                ? gatewaySettings.batchQueueMs()
                : gatewaySettings.interactiveQueueMs();
        return Math.min(queueMs, context.remainingMs(clock()));
    }
}
