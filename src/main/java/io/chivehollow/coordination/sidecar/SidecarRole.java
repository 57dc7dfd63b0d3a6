package io.chivehollow.coordination.sidecar;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.chivehollow.base.Clock;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.engine.HttpEngineClient;
import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SidecarSettings;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.jboss.logging.Logger;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The sidecar role of a process.
 *
 * <p>Thread-safe.
 */
public final class SidecarRole implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(SidecarRole.class);

    private static final long START_RECORD_RETRY_MS = 500;

    /**
     * Longest time for which the sidecar of an ordinary service delays listening until it has read the log. A call
     * whose connection is refused has certainly not run; idempotent calls must not wait longer for a quorum.
     */
    private static final long MAX_LISTEN_DELAY_MS = 5_000;

    /** Longest time for open calls to end at shutdown; the longest responses take some tens of seconds. */
    private static final long MAX_SHUTDOWN_MS = 120_000;

    private final SidecarService service;
    private final FrameServer server;
    private volatile boolean isStopped;

    private SidecarRole(SidecarService service, FrameServer server) {
        this.service = service;
        this.server = server;
    }

    /** Starts the role; the caller remains responsible for shutting down the event loops. */
    public static SidecarRole start(Settings settings, EventLoopGroup eventLoops, SidecarServices services) {
        SidecarSettings sidecar = settings.sidecar();
        checkArgument(sidecar != null, "settings must have the sidecar role, but have none");
        SidecarOptions options = SidecarOptions.of(sidecar, settings.failureDomain());
        return start(settings, sidecar, options, eventLoops, services, Set.of());
    }

    static SidecarRole start(
            Settings settings,
            SidecarSettings sidecar,
            SidecarOptions options,
            EventLoopGroup eventLoops,
            SidecarServices services,
            Set<SidecarSafeguard> disabledSafeguards) {
        EventLoop loop = eventLoops.next();
        AtomicReference<SidecarService> created = new AtomicReference<>();
        HttpEngineClient engine =
                HttpEngineClient.create(sidecar.backendAddress(), eventLoops, sidecar.callTimeoutMs(), bootId -> {
                    SidecarService current = created.get();
                    if (current != null) {
                        current.onBootId(bootId);
                    }
                });
        SidecarService service =
                SidecarService.create(options, loop, Clock.system(), services, engine, disabledSafeguards);
        created.set(service);
        service.start();
        CountDownLatch hasStartRecord = new CountDownLatch(1);
        readStartRecord(Scheduler.on(loop), services.startRecords(), service, hasStartRecord);
        if (options.kind() == SidecarSettings.BackendKind.PLAIN) {
            awaitStartRecord(hasStartRecord);
        }
        TransportOptions transport = TransportOptions.of(settings.instance(), "sidecar", settings.secret());
        FrameServer server = FrameServer.start(sidecar.address(), transport, eventLoops, service);
        LOG.infof("Sidecar of backend server %s listens at %s", sidecar.backendServer(), server.address());
        return new SidecarRole(service, server);
    }

    private static void readStartRecord(
            Scheduler scheduler, StartRecordSource source, SidecarService service, CountDownLatch hasStartRecord) {
        source.read().whenComplete((record, failure) -> {
            if (failure == null) {
                service.setStartRecord(record);
                hasStartRecord.countDown();
                return;
            }
            LOG.debugf("Sidecar cannot read its start record from the replicated log yet; retrying: %s", failure);
            scheduler.schedule(
                    START_RECORD_RETRY_MS, () -> readStartRecord(scheduler, source, service, hasStartRecord));
        });
    }

    private static void awaitStartRecord(CountDownLatch hasStartRecord) {
        try {
            if (!hasStartRecord.await(MAX_LISTEN_DELAY_MS, TimeUnit.MILLISECONDS)) {
                LOG.warn("Sidecar cannot read its start record from the log yet; refusing non-idempotent calls");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the backend server is reachable and holds no request of an earlier sidecar process. */
    public boolean isReady() {
        return service.isReady();
    }

    /** Returns the address at which gateways reach the sidecar. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Refuses new work as "not run"; the future completes when no call is open and the role can be closed. */
    public CompletableFuture<Void> shutDown() {
        return service.shutDown();
    }

    /** Stops the role after its open calls have ended, or after the time limit of a shutdown. */
    @Override
    public void close() {
        if (isStopped) {
            return;
        }
        try {
            shutDown().get(MAX_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("Open calls did not end within the shutdown time limit; cancelling them", e);
        }
        stopNow();
    }

    /** Closes all connections at once; the open requests are cancelled in the backend server. */
    void stopNow() {
        isStopped = true;
        server.close();
        service.close();
    }
}
