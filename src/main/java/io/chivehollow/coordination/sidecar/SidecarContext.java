package io.chivehollow.coordination.sidecar;

import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.IntSupplier;

import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.loads.WeightLoadPermits;
import io.chivehollow.metrics.SidecarMetrics;
import io.chivehollow.protocol.engine.EngineClient;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.transport.ServerCall;
import org.jboss.logging.Logger;

/**
 * State and services that all calls of a sidecar share.
 *
 * <p>{@link #run} is thread-safe; everything else is used on the sidecar's event loop, which runs one task at a time.
 */
final class SidecarContext {

    private static final Logger LOG = Logger.getLogger(SidecarContext.class);

    /** Keeps the engine id, with its suffix, within the length limit of an identifier. */
    private static final int MAX_CALLER_ID_CHARS = 100;

    private final SidecarOptions options;
    private final ScheduledExecutorService loop;
    private final Scheduler scheduler;
    private final Clock clock;
    private final Set<SidecarSafeguard> disabledSafeguards;
    private final ReleasedAdmission admission;
    private final EngineCapacity capacity;
    private final EngineMonitor monitor;
    private final EngineClient engine;
    private final SidecarMetrics metrics;
    private final WeightLoadPermits weightLoadPermits;
    private IntSupplier queued = () -> 0;
    private IntSupplier queuedMs = () -> 0;
    private long nextEngineIdSuffix = 1;

    SidecarContext(
            SidecarOptions options,
            ScheduledExecutorService loop,
            Clock clock,
            SidecarServices services,
            EngineClient engine,
            Set<SidecarSafeguard> disabledSafeguards) {
        this.options = options;
        this.loop = loop;
        this.scheduler = Scheduler.on(loop);
        this.clock = clock;
        this.disabledSafeguards = Set.copyOf(disabledSafeguards);
        this.admission =
                new ReleasedAdmission(options, services.config(), isEnabled(SidecarSafeguard.RELEASED_STATE_CHECK));
        this.capacity = new EngineCapacity(options, clock, isEnabled(SidecarSafeguard.COLD_START_RAMP));
        this.engine = engine;
        this.metrics = SidecarMetrics.create(services.metrics());
        this.weightLoadPermits = services.weightLoadPermits();
        this.monitor = new EngineMonitor(this);
    }

    SidecarOptions options() {
        return options;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    long nowMs() {
        return clock.monotonicMs();
    }

    boolean isEnabled(SidecarSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }

    ReleasedAdmission admission() {
        return admission;
    }

    EngineCapacity capacity() {
        return capacity;
    }

    EngineMonitor monitor() {
        return monitor;
    }

    EngineClient engine() {
        return engine;
    }

    WeightLoadPermits weightLoadPermits() {
        return weightLoadPermits;
    }

    SidecarMetrics metrics() {
        return metrics;
    }

    /** Runs a task on the sidecar's event loop, after the tasks that were submitted before. */
    void run(Runnable task) {
        loop.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("Task on the event loop of the sidecar failed; other tasks continue", e);
            }
        });
    }

    /** Runs the first task of a call on the event loop; an unexpected exception fails the call. */
    void runFirstTask(ServerCall call, Runnable task) {
        run(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("Unexpected exception at the start of a call; failing the call", e);
                fail(call, ErrorCode.INTERNAL, "Internal error in the sidecar", false);
            }
        });
    }

    /**
     * Returns an id for a request in the engine that no earlier call of this process had.
     *
     * <p>The same request of a caller can reach an engine twice; a late abort of the first must not abort the second.
     */
    RequestId newEngineId(String requestId) {
        int length = Math.min(MAX_CALLER_ID_CHARS, requestId.length());
        return RequestId.of(requestId.substring(0, length) + "." + nextEngineIdSuffix++);
    }

    void setQueueSuppliers(IntSupplier queuedRequests, IntSupplier queuedTimeMs) {
        this.queued = queuedRequests;
        this.queuedMs = queuedTimeMs;
    }

    Load load() {
        return Load.newBuilder()
                .setFreeBlocks(capacity.freeBlocks())
                .setTotalBlocks(capacity.totalBlocks())
                .setRunning(capacity.startedCount())
                .setQueued(queued.getAsInt())
                .setQueuedMs(queuedMs.getAsInt())
                .setRampLimit(capacity.slotLimit())
                .setCold(capacity.isCold())
                .setDraining(admission.drainReason().isPresent())
                .build();
    }

    void fail(ServerCall call, ErrorCode code, String message, boolean notRun) {
        fail(call, code, message, notRun, load());
    }

    /** Refuses a call as "not run" because it would miss its target, and reports the expected wait. */
    void refuseAsLate(ServerCall call, String message, long waitMs) {
        // At least 1, because 0 means that there is no estimate.
        Load load = load().toBuilder()
                .setWaitMs((int) Math.max(1, Math.min(Integer.MAX_VALUE, waitMs)))
                .build();
        fail(call, ErrorCode.OVERLOADED, message, true, load);
    }

    private static void fail(ServerCall call, ErrorCode code, String message, boolean notRun, Load load) {
        call.fail(Failure.newBuilder()
                .setCode(code.wireName())
                .setMessage(message)
                .setNotRun(notRun)
                .setLoad(load)
                .build());
    }

    /** Refuses the call as "not run" if the sidecar accepts no new work, and returns whether it did. */
    boolean refuseIfUnavailable(ServerCall call, boolean isForTeam) {
        ReleasedAdmission.Refusal refusal = admission.refusal(isForTeam).orElse(null);
        if (refusal != null) {
            fail(call, refusal.code(), refusal.message(), true);
            return true;
        }
        if (!monitor.isReady()) {
            fail(
                    call,
                    ErrorCode.NO_BACKEND_SERVER,
                    "The backend server is unreachable or not reconciled with the sidecar yet",
                    true);
            return true;
        }
        return false;
    }
}
