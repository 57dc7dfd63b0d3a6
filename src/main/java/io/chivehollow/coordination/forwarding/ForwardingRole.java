package io.chivehollow.coordination.forwarding;

import java.util.ServiceLoader;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.forwarding.adapter.ForwardingAdapter;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendSelector;
import io.chivehollow.coordination.forwarding.backend.BackendTable;
import io.chivehollow.coordination.forwarding.flow.Admission;
import io.chivehollow.coordination.forwarding.flow.ForwardMetrics;
import io.chivehollow.coordination.forwarding.flow.ForwardServices;
import io.chivehollow.coordination.forwarding.flow.RetryLimits;
import io.chivehollow.coordination.forwarding.flow.SharedLimits;
import io.chivehollow.coordination.forwarding.ingress.Ingress;
import io.chivehollow.coordination.forwarding.locality.Locality;
import io.chivehollow.coordination.forwarding.locality.LocalityLimits;
import io.chivehollow.coordination.forwarding.pressure.ProcessPressure;
import io.chivehollow.coordination.forwarding.stage.RoleChangeSender;
import io.chivehollow.settings.ForwardingSettings;
import io.chivehollow.settings.LocalitySettings;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The forwarding role of a process, which sends callers' requests directly to backend servers that have no sidecar.
 *
 * <p>Invariant: one event loop owns all state of requests and backend servers. Thread-safe.
 */
public final class ForwardingRole implements AutoCloseable {

    /** Maximum size of the body of an operator's request: the largest document of an operator and a margin. */
    private static final int MAX_DOCUMENT_BYTES = 5 << 20;

    private static final int MAX_READINESS_BYTES = 1_024;

    /**
     * The load balancer checks the readiness once a second and stops after two negative responses, so new connections
     * arrive for 2 s.
     */
    private static final long DRAIN_DELAY_MS = 2_500;

    private static final long POLL_MS = 50;

    /** Time to send the final answers of requests that are still open at the end of the shutdown. */
    private static final long FINAL_ANSWERS_MS = 100;

    private static final Logger LOG = Logger.getLogger(ForwardingRole.class);

    private final ForwardingSettings settings;
    private final ConfigView config;
    private final EventLoop loop;
    private final Ingress ingress;
    private final BackendListPoller listPoller;
    private final Endpoint operatorEndpoint;
    private final Endpoint readinessEndpoint;
    private volatile boolean isShuttingDown;

    private ForwardingRole(ForwardingSettings settings, ForwardingContext context) {
        this.settings = settings;
        this.config = context.config();
        this.loop = context.eventLoops().next();
        ForwardingAdapter adapter = adapter(settings.adapter());
        ForwardMetrics metrics = ForwardMetrics.create(context.registry());
        Admission admission = Admission.create(config, context.random(), settings.queueOrder());
        Locality locality = locality(settings.locality(), context, admission);
        BackendTable table = BackendTable.create(System::nanoTime, metrics, metrics, locality.links());
        BackendConnections connections = BackendConnections.create(loop, System::nanoTime, adapter.dialect());
        this.listPoller = new BackendListPoller(
                adapter.backendList(settings.backendListAddress(), new NettyHttpFetcher(context.eventLoops())),
                table,
                connections,
                loop,
                context.scheduler(),
                settings.backendListPeriodMs());
        listPoller.start();
        ForwardServices services = ForwardServices.of(
                        loop,
                        System::nanoTime,
                        adapter.dialect(),
                        admission,
                        context.budget(),
                        BackendSelector.create(
                                table,
                                context.random(),
                                context.processCount(),
                                admission::coldRequestsPerSecond,
                                locality),
                        connections,
                        new SharedLimits(
                                new RetryLimits(
                                        settings.retryShare(), settings.retrySlack(), settings.retryWindowSeconds()),
                                context.processCount(),
                                context.crashes()),
                        metrics)
                .withLocality(locality);
        RoleChangeSender.start(
                context.instance(),
                loop,
                System::nanoTime,
                context.isLeader(),
                context.control()::submit,
                adapter.dialect(),
                table,
                connections,
                service -> table.decodeServersPerPrefillServer(service, admission.serverMemoryTokens(service)));
        this.ingress = Ingress.start(
                settings.address(),
                services,
                ProcessPressure.create(context.limits(), System::nanoTime, context.registry()));
        InputDelay inputDelay = InputDelay.start(context.eventLoops(), System::nanoTime);
        this.operatorEndpoint = Endpoint.start(
                settings.operatorAddress(),
                context.eventLoops(),
                inputDelay,
                MAX_DOCUMENT_BYTES,
                adapter.operatorHandler(new ReplicatedActions(context.control())));
        this.readinessEndpoint = Endpoint.start(
                settings.readinessAddress(),
                context.eventLoops(),
                inputDelay,
                MAX_READINESS_BYTES,
                adapter.readinessHandler(this::isReady));
    }

    /** Starts the role. */
    public static ForwardingRole start(ForwardingSettings settings, ForwardingContext context) {
        ForwardingRole role = new ForwardingRole(settings, context);
        LOG.infof("Listening for requests to forward at %s", settings.address());
        return role;
    }

    private static Locality locality(
            @Nullable LocalitySettings settings, ForwardingContext context, Admission admission) {
        return settings == null
                ? Locality.off()
                : Locality.create(
                        context.failureDomain(),
                        new LocalityLimits(
                                settings.crossDomainBytesPerSecond(),
                                settings.crossDomainKvBytesPerSecond(),
                                settings.linkMegabitsPerSecond()),
                        admission::serviceFigures,
                        context.registry());
    }

    private static ForwardingAdapter adapter(String name) {
        return ServiceLoader.load(ForwardingAdapter.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(adapter -> adapter.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("No forwarding adapter has the name \"" + name + "\""));
    }

    /**
     * Returns whether the role accepts requests with an API key: it is not shutting down, it has a list of backend
     * servers, and its configuration is fresh and contains a deployment.
     */
    public boolean isReady() {
        return !isShuttingDown
                && listPoller.hasRead()
                && config.isFresh()
                && config.current()
                        .map(current -> current.state().hasDeployment())
                        .orElse(false);
    }

    /**
     * Shuts the role down: refuses new connections and requests after the load balancer has had the time to notice,
     * waits for open requests, at most for the shutdown time of the settings, and ends the others with an error.
     */
    @Override
    public void close() {
        long startNanos = System.nanoTime();
        LOG.info("Shutdown of the forwarding role begins; open requests may finish first");
        isShuttingDown = true;
        ingress.beginDrain();
        sleep(Math.min(DRAIN_DELAY_MS, settings.shutdownMs()));
        ingress.closeIdle();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(settings.shutdownMs());
        int open = countOpenRequests();
        while (open > 0 && endNanos - System.nanoTime() > 0) {
            sleep(POLL_MS);
            open = countOpenRequests();
        }
        LOG.infof("Shutdown of the forwarding role ends with %d open requests", open);
        if (open > 0) {
            ingress.failOpenRequests();
            sleep(FINAL_ANSWERS_MS);
        }
        listPoller.close();
        operatorEndpoint.close();
        readinessEndpoint.close();
    }

    private int countOpenRequests() {
        try {
            return CompletableFuture.supplyAsync(ingress::openRequests, loop).get(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("The open requests cannot be counted, so that the shutdown continues without them: %s", e);
            return 0;
        }
    }

    private static void sleep(long timeMs) {
        try {
            Thread.sleep(timeMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
