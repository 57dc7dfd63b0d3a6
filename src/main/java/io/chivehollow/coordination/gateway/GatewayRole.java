package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.chivehollow.base.Scheduler;
import io.chivehollow.settings.GatewaySettings;
import io.chivehollow.settings.Settings;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import org.jboss.logging.Logger;

/**
 * A running gateway.
 *
 * <p>Thread-safe.
 */
public final class GatewayRole implements AutoCloseable {

    /** Period of the checks of the keys of open requests, as specified in the design. */
    static final int KEY_RECHECK_PERIOD_MS = 1_000;

    /** Time allowed in addition to the shutdown time for writing the last responses. */
    private static final int SHUTDOWN_MARGIN_MS = 3_000;

    /**
     * Period of the checks for unused connections to sidecars. A connection beyond the subset size is closed after 10
     * to 20 s without a call, so that a busy gateway does not reconnect for each request.
     */
    private static final int UNUSED_CONNECTION_CHECK_PERIOD_MS = 10_000;

    private static final Logger LOG = Logger.getLogger(GatewayRole.class);

    private final GatewayCore core;
    private final ApplicationContext context;
    private final EmbeddedServer server;
    private final List<Scheduler.Timer> timers;
    private final GatewayShutdown shutdown;

    private GatewayRole(
            GatewayCore core, ApplicationContext context, EmbeddedServer server, List<Scheduler.Timer> timers) {
        this.core = core;
        this.context = context;
        this.server = server;
        this.timers = timers;
        this.shutdown = new GatewayShutdown(core);
    }

    /** Starts a gateway; throws if its address cannot be bound. */
    public static GatewayRole start(Settings settings, GatewayServices services) {
        return start(settings, services, Set.of());
    }

    /** Starts a gateway with some of its safeguards disabled, for tests. */
    static GatewayRole start(Settings settings, GatewayServices services, Set<GatewaySafeguard> disabledSafeguards) {
        GatewaySettings gateway = Objects.requireNonNull(settings.gateway(), "settings have no gateway section");
        GatewayCore core = new GatewayCore(settings, gateway, services, disabledSafeguards);
        ApplicationContext context = ApplicationContext.builder()
                .properties(httpProperties(gateway))
                .environmentPropertySource(false)
                .banner(false)
                .singletons(core)
                .build()
                .start();
        EmbeddedServer server = context.getBean(EmbeddedServer.class).start();
        Scheduler scheduler = services.scheduler();
        List<Scheduler.Timer> timers = List.of(
                scheduler.scheduleRepeating(KEY_RECHECK_PERIOD_MS, () -> recheckKeys(core)),
                scheduler.scheduleRepeating(UNUSED_CONNECTION_CHECK_PERIOD_MS, () -> closeUnusedConnections(core)));
        return new GatewayRole(core, context, server, timers);
    }

    private static void closeUnusedConnections(GatewayCore core) {
        Set<InetSocketAddress> replicas = Set.copyOf(core.settings().replicas());
        core.connections().closeUnused(core.gatewaySettings().subsetSize(), replicas);
    }

    private static void recheckKeys(GatewayCore core) {
        if (core.isEnabled(GatewaySafeguard.KEY_RECHECK)) {
            core.openRequests().recheckKeys(core.config());
        }
    }

    private static Map<String, Object> httpProperties(GatewaySettings settings) {
        Map<String, Object> properties = new HashMap<>();
        properties.put(
                "micronaut.server.host", settings.httpAddress().getAddress().getHostAddress());
        properties.put(
                "micronaut.server.port",
                settings.httpAddress().getPort() == 0
                        ? -1
                        : settings.httpAddress().getPort());
        properties.put("micronaut.server.max-request-size", settings.maxBodyBytes());
        properties.put("micronaut.server.max-request-buffer-size", settings.maxBodyBytes());
        properties.put("micronaut.server.netty.max-header-size", settings.maxHeaderBytes());
        properties.put("micronaut.server.netty.max-initial-line-length", settings.maxHeaderBytes());
        properties.put("micronaut.server.netty.compression-threshold", -1);
        properties.put("micronaut.server.netty.request-decompression-enabled", false);
        properties.put("micronaut.server.netty.keep-alive-on-server-error", true);
        return properties;
    }

    /** Returns the address at which the HTTP server listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getHost(), server.getPort());
    }

    /** Returns whether a load balancer should send requests to this instance. */
    public boolean isReady() {
        return core.isReady();
    }

    /** Returns the number of requests that have no outcome yet, for tests. */
    int openRequests() {
        return core.openRequests().size();
    }

    /** Returns the number of HTTP requests whose response has not been written, for tests. */
    int inFlight() {
        return core.inFlight().count();
    }

    /**
     * Lets open requests finish and refuses new ones.
     *
     * <p>The future completes at the latest one second after the shutdown time of the settings. The HTTP server keeps
     * running until {@link #close}.
     */
    public CompletableFuture<ShutdownReport> shutDown() {
        return shutdown.begin();
    }

    /**
     * Shuts down gracefully and then stops the HTTP server.
     *
     * <p>Waits at most for the shutdown time of the settings plus a few seconds.
     */
    @Override
    public void close() {
        try {
            shutDown().get(core.gatewaySettings().shutdownMs() + SHUTDOWN_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("The graceful shutdown did not complete in time; stopping the HTTP server now", e);
        }
        stopNow();
    }

    /** Stops the HTTP server immediately; open requests are cancelled. */
    void stopNow() {
        timers.forEach(Scheduler.Timer::cancel);
        core.stopAccepting();
        context.close();
    }
}
