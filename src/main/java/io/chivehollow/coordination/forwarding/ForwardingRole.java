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
import io.chivehollow.coordination.forwarding.ingress.Ingress;
import io.chivehollow.coordination.forwarding.stage.RoleChangeSender;
import io.chivehollow.settings.ForwardingSettings;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;

/**
 * The forwarding role of a process: callers' requests go straight to backend servers that have no sidecar.
 *
 * <p>Invariant: all state of requests and backend servers belongs to one event loop. Thread-safe.
 */
public final class ForwardingRole implements AutoCloseable {

    /** The largest document that operators may send, plus its header fields. */
    private static final int MAX_DOCUMENT_BYTES = 5 << 20;

    private static final int MAX_READINESS_BYTES = 1_024;

    /** The load balancer asks each second and stops after two refusals, so new connections come for 2 s. */
    private static final long NEW_CONNECTIONS_MS = 2_500;

    private static final long POLL_MS = 50;

    private static final Logger LOG = Logger.getLogger(ForwardingRole.class);

    private final ForwardingSettings settings;
    private final ConfigView config;
    private final EventLoop loop;
    private final Ingress ingress;
    private final BackendListReader list;
    private final Endpoint operators;
    private final Endpoint readiness;
    private volatile boolean isStopping;

    private ForwardingRole(ForwardingSettings settings, ForwardingContext context) {
        this.settings = settings;
        this.config = context.config();
        this.loop = context.eventLoops().next();
        ForwardingAdapter adapter = adapter(settings.adapter());
        BackendTable table = BackendTable.create(System::nanoTime);
        BackendConnections connections = BackendConnections.create(loop, System::nanoTime);
        this.list = new BackendListReader(
                adapter.backendList(settings.backendListAddress(), new NettyHttpFetcher(context.eventLoops())),
                table,
                connections,
                loop,
                context.scheduler(),
                settings.backendListPeriodMs());
        list.start();
        ForwardServices services = ForwardServices.of(
                loop,
                System::nanoTime,
                adapter.dialect(),
                Admission.create(config, context.random()),
                context.budget(),
                BackendSelector.create(table, context.random(), context.processes()),
                connections,
                context.processes(),
                ForwardMetrics.create(context.registry()));
        RoleChangeSender.start(
                context.instance(),
                loop,
                System::nanoTime,
                context.leads(),
                context.control()::submit,
                adapter.dialect(),
                table,
                connections);
        this.ingress = Ingress.start(settings.address(), services);
        this.operators = Endpoint.start(
                settings.operatorAddress(),
                context.eventLoops(),
                MAX_DOCUMENT_BYTES,
                adapter.operatorHandler(new ReplicatedActions(context.control())));
        this.readiness = Endpoint.start(
                settings.readinessAddress(),
                context.eventLoops(),
                MAX_READINESS_BYTES,
                adapter.readinessHandler(this::isReady));
    }

    /** Starts the role. */
    public static ForwardingRole start(ForwardingSettings settings, ForwardingContext context) {
        ForwardingRole role = new ForwardingRole(settings, context);
        LOG.infof("Requests are forwarded at %s", settings.address());
        return role;
    }

    private static ForwardingAdapter adapter(String name) {
        return ServiceLoader.load(ForwardingAdapter.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(adapter -> adapter.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("There is no adapter \"" + name + "\""));
    }

    /** Returns whether requests with an API key can be served. */
    public boolean isReady() {
        return !isStopping
                && list.hasRead()
                && config.isFresh()
                && config.current()
                        .map(current -> current.state().hasDeployment())
                        .orElse(false);
    }

    /** Refuses new connections after the load balancer has had the time to notice, and lets open requests end. */
    @Override
    public void close() {
        long startNanos = System.nanoTime();
        LOG.info("The instance stops; open requests are finished first");
        isStopping = true;
        ingress.beginDrain();
        sleep(Math.min(NEW_CONNECTIONS_MS, settings.shutdownMs()));
        ingress.closeIdle();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(settings.shutdownMs());
        int open = openRequests();
        while (open > 0 && endNanos - System.nanoTime() > 0) {
            sleep(POLL_MS);
            open = openRequests();
        }
        LOG.infof("The instance stops with %d open requests", open);
        list.close();
        operators.close();
        readiness.close();
    }

    private int openRequests() {
        try {
            return CompletableFuture.supplyAsync(ingress::openRequests, loop).get(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("The open requests cannot be counted: %s", e);
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
