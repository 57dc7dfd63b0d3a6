package io.chivehollow.coordination.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Scheduler;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.metrics.RequestClass;
import io.chivehollow.metrics.SidecarMetrics;
import io.chivehollow.protocol.engine.EngineClient;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.SidecarStatus;
import io.chivehollow.protocol.wire.TeamUse;
import io.chivehollow.settings.SidecarSettings;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jspecify.annotations.Nullable;

/**
 * Serves the calls of gateways to one backend server.
 *
 * <p>Thread-safe: all state is used on one event loop, which is passed at creation. Every call to the backend server
 * passes through this service, so that its counts of memory and concurrency are exact.
 */
public final class SidecarService implements CallHandler, AutoCloseable {

    /** Period of the checks of waiting requests, keys and slow engines; short compared with the targets of 3 s. */
    private static final int SWEEP_PERIOD_MS = 100;

    /** Period of metrics updates; short compared with a scrape interval of 15 s. */
    private static final int METRICS_PERIOD_MS = 1_000;

    private final SidecarContext context;
    private final PrefillCalls prefills;
    private final DecodeCalls decodes;
    private final PlainCalls plainCalls;
    private final ManagementCommands commands;
    private Scheduler.@Nullable Timer sweepTimer;
    private Scheduler.@Nullable Timer metricsTimer;
    private @Nullable CompletableFuture<Void> shutDown;

    private SidecarService(SidecarContext context) {
        this.context = context;
        this.prefills = new PrefillCalls(context);
        this.decodes = new DecodeCalls(context);
        this.plainCalls = new PlainCalls(context);
        this.commands = new ManagementCommands(context);
        context.setQueueSuppliers(
                () -> prefills.queuedCount() + decodes.queuedCount() + plainCalls.queuedCount(), prefills::queuedMs);
        context.monitor().setWorkSupplier(() -> !isIdle());
        context.monitor().addRestartListener(prefills::onEngineRestart);
        context.monitor().addRestartListener(decodes::onEngineRestart);
    }

    static SidecarService create(
            SidecarOptions options,
            ScheduledExecutorService loop,
            Clock clock,
            SidecarServices services,
            EngineClient engine,
            Set<SidecarSafeguard> disabledSafeguards) {
        return new SidecarService(new SidecarContext(options, loop, clock, services, engine, disabledSafeguards));
    }

    /** Starts to reconcile with the backend server; the service accepts work once that has succeeded. */
    public void start() {
        context.run(() -> {
            context.monitor().start();
            sweepTimer = context.scheduler().scheduleRepeating(SWEEP_PERIOD_MS, this::sweep);
            metricsTimer = context.scheduler().scheduleRepeating(METRICS_PERIOD_MS, this::updateMetrics);
        });
    }

    private void sweep() {
        prefills.sweep();
        decodes.sweep();
        plainCalls.sweep();
        CompletableFuture<Void> pending = shutDown;
        if (pending != null && isIdle()) {
            pending.complete(null);
        }
    }

    private boolean isIdle() {
        return prefills.isEmpty() && decodes.isEmpty() && plainCalls.isEmpty();
    }

    /** Sets the start record; until then non-idempotent calls and management commands are refused. */
    public void setStartRecord(StartRecord record) {
        context.run(() -> {
            plainCalls.attempts().setStartIndex(record.logIndex());
            commands.setStartNumber(record.fencingNumber());
        });
    }

    /** Refuses new work as "not run"; the future completes when all open calls have ended. */
    public CompletableFuture<Void> shutDown() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.run(() -> {
            context.admission().shutDown();
            shutDown = done;
        });
        return done;
    }

    /** Returns whether the backend server is reachable and holds no request of an earlier sidecar process. */
    public boolean isReady() {
        return context.monitor().isReady();
    }

    /** Handles the boot id in a response of the engine. */
    void onBootId(String bootId) {
        context.run(() -> context.monitor().onBootId(bootId));
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        SidecarSettings.BackendKind kind = context.options().kind();
        switch (first.getBodyCase()) {
            case ADMIT_PREFILL -> {
                if (kind == SidecarSettings.BackendKind.PREFILL) {
                    return prefills.open(call, first.getAdmitPrefill());
                }
            }
            case RESERVE_DECODE -> {
                if (kind == SidecarSettings.BackendKind.DECODE) {
                    return decodes.open(call, first.getReserveDecode());
                }
            }
            case PLAIN_CALL -> {
                if (kind == SidecarSettings.BackendKind.PLAIN) {
                    return plainCalls.open(call, first.getPlainCall());
                }
            }
            case ORDER -> {
                if (kind != SidecarSettings.BackendKind.PLAIN) {
                    return commands.open(call, first.getOrder());
                }
            }
            case SIDECAR_STATUS_QUERY -> {
                context.runFirstTask(call, () -> call.finish(Frame.newBuilder().setSidecarStatus(status())));
                return ServerCallListener.none();
            }
            default -> {
                // Refused after the switch.
            }
        }
        call.fail(
                ErrorCode.INVALID_REQUEST,
                "A sidecar of kind " + kind + " does not accept a call that starts with " + first.getBodyCase(),
                true);
        return ServerCallListener.none();
    }

    private SidecarStatus status() {
        return SidecarStatus.newBuilder()
                .setBackendServer(context.options().backendServer().value())
                .setLoad(context.load())
                .setBootId(context.monitor().bootId())
                .setConfigVersion(context.admission().version())
                .setFencingNumber(commands.highestFencingNumber())
                .addAllTeams(queuedCallsByTeam())
                .build();
    }

    private void updateMetrics() {
        Map<SidecarMetrics.QueueKey, Integer> queuedCounts = new HashMap<>();
        for (TeamId team : context.admission().teams()) {
            addQueued(queuedCounts, team, RequestClass.INTERACTIVE, queuedGenerations(team, Priority.INTERACTIVE));
            addQueued(queuedCounts, team, RequestClass.BATCH, queuedGenerations(team, Priority.BATCH));
            addQueued(queuedCounts, team, RequestClass.PLAIN, plainCalls.queuedCount(team));
        }
        TeamId openRouteTeam = ReleasedAdmission.teamOf("");
        addQueued(queuedCounts, openRouteTeam, RequestClass.PLAIN, plainCalls.queuedCount(openRouteTeam));
        context.metrics()
                .update(
                        context.load(),
                        isReady(),
                        decodes.link().plannedBytes(),
                        decodes.link().utilization(),
                        queuedCounts);
    }

    private int queuedGenerations(TeamId team, Priority priority) {
        return prefills.queuedCount(team, priority) + decodes.queuedCount(team, priority);
    }

    private static void addQueued(
            Map<SidecarMetrics.QueueKey, Integer> queuedCounts, TeamId team, RequestClass requestClass, int count) {
        if (count > 0) {
            queuedCounts.put(new SidecarMetrics.QueueKey(team, requestClass), count);
        }
    }

    private List<TeamUse> queuedCallsByTeam() {
        return context.admission().teams().stream()
                .map(team -> TeamUse.newBuilder()
                        .setTeam(team.value())
                        .setWaiting(
                                prefills.queuedCount(team) + decodes.queuedCount(team) + plainCalls.queuedCount(team))
                        .build())
                .filter(use -> use.getWaiting() > 0)
                .toList();
    }

    /** Stops the periodic tasks; open calls end when the server closes its connections. */
    @Override
    public void close() {
        context.run(() -> {
            context.monitor().close();
            if (sweepTimer != null) {
                sweepTimer.cancel();
            }
            if (metricsTimer != null) {
                metricsTimer.cancel();
            }
        });
    }
}
