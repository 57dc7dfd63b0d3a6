package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.engine.EngineStatus;
import io.chivehollow.protocol.engine.HttpEngineClient;
import io.chivehollow.settings.SidecarSettings;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the sidecar's state of its backend server consistent with the backend server itself.
 *
 * <p>Polls the status of the engine, detects restarts, and aborts cancelled requests. Used on the sidecar's event loop,
 * except that {@link #isReady} is thread-safe. Invariants: no work is accepted before the engine holds no request of an
 * earlier sidecar process; the lease of a cancelled request is released only when the engine has confirmed the abort,
 * has restarted, or, if it cannot abort, reports no more requests than the sidecar has started and not cancelled. Such
 * an engine cancels a request when its connection is closed.
 */
final class EngineMonitor {

    private static final Logger LOG = Logger.getLogger(EngineMonitor.class);

    private static final long ABORT_RETRY_MS = 200;

    /**
     * Failed aborts of a request after which the engine's request count decides whether it has ended; they take 5 s.
     */
    private static final int MAX_ABORT_ATTEMPTS = 25;

    /**
     * Shortest time after a cancellation before the request count of the engine is taken to reflect it. It covers the
     * time that the engine needs to cancel and the age of its status, which lags by about 1 s.
     */
    private static final int MIN_SETTLE_TIME_MS = 2_000;

    /** Consecutive failed status calls after which the engine counts as unreachable; a busy engine may fail one. */
    private static final int MAX_FAILED_STATUS_CALLS = 3;

    /**
     * Status periods between two status calls while the engine has no work: 2 s instead of 0.5 s. A restart is still
     * detected within one period, since it closes the connection for status calls.
     */
    private static final int IDLE_STATUS_PERIODS = 4;

    private final SidecarContext context;
    private final List<Runnable> restartListeners = new ArrayList<>();
    private final List<UnconfirmedAbort> unconfirmedAborts = new ArrayList<>();
    private final Set<Lease> cancelledLeases = new HashSet<>();
    private long startMs;
    private volatile boolean isReconciled;
    private boolean isClosed;
    private boolean canAbort = true;
    private volatile int failedStatusCalls;
    private String bootId = "";
    private long restartCount;
    private boolean wasUnreachable;
    private boolean isStatusConnectionLost;
    private int periodsSincePoll;
    private BooleanSupplier hasWork = () -> true;
    private Scheduler.@Nullable Timer timer;

    EngineMonitor(SidecarContext context) {
        this.context = context;
    }

    /** Aborts the requests that the engine still holds and starts the periodic status calls. */
    void start() {
        if (context.options().kind() == SidecarSettings.BackendKind.PLAIN) {
            isReconciled = true;
            return;
        }
        if (!context.isEnabled(SidecarSafeguard.RECONCILIATION)) {
            isReconciled = true;
        }
        startMs = context.nowMs();
        context.engine().setStatusConnectionLostListener(() -> context.run(() -> isStatusConnectionLost = true));
        timer = context.scheduler().scheduleRepeating(context.options().statusPeriodMs(), this::onStatusPeriod);
        pollStatus();
    }

    /** Sets the supplier that tells whether the sidecar has open calls; if so, each period has a status call. */
    void setWorkSupplier(BooleanSupplier supplier) {
        hasWork = supplier;
    }

    private void onStatusPeriod() {
        periodsSincePoll++;
        boolean isDue = !isReconciled
                || failedStatusCalls > 0
                || isStatusConnectionLost
                || periodsSincePoll >= IDLE_STATUS_PERIODS
                || context.capacity().hasLeases()
                || hasWork.getAsBoolean();
        if (isDue) {
            pollStatus();
        }
    }

    void close() {
        isClosed = true;
        if (timer != null) {
            timer.cancel();
        }
        context.engine().close();
    }

    boolean isReady() {
        return isReconciled && failedStatusCalls < MAX_FAILED_STATUS_CALLS;
    }

    String bootId() {
        return bootId;
    }

    void addRestartListener(Runnable listener) {
        restartListeners.add(listener);
    }

    private void pollStatus() {
        periodsSincePoll = 0;
        isStatusConnectionLost = false;
        if (!isReconciled) {
            context.engine()
                    .abortAll()
                    .whenComplete((done, failure) -> context.run(() -> {
                        canAbort = failure == null || !isUnsupported(failure);
                        if (failure == null) {
                            isReconciled = true;
                        } else {
                            LOG.warnf(
                                    "Cannot abort requests of an earlier sidecar process; refusing work: %s", failure);
                        }
                    }));
        }
        context.engine().status().whenComplete((status, failure) -> context.run(() -> onStatus(status, failure)));
    }

    private void onStatus(@Nullable EngineStatus status, @Nullable Throwable failure) {
        if (failure != null) {
            failedStatusCalls++;
            wasUnreachable |= HttpEngineClient.failureOf(failure).isNotRun();
            return;
        }
        failedStatusCalls = 0;
        // An engine without a boot id counts as restarted if it refused connections since the last status.
        if (wasUnreachable && bootId.isEmpty() && context.isEnabled(SidecarSafeguard.BOOT_DETECTION)) {
            onRestart();
        }
        wasUnreachable = false;
        if (status != null) {
            onRequestCount(status.running() + status.waiting());
        }
    }

    /** Releases cancelled requests by the request count of the engine, if the engine does not confirm aborts. */
    private void onRequestCount(int requests) {
        int settleMs = settleTimeMs();
        long nowMs = context.nowMs();
        if (!isReconciled && !canAbort && requests == 0 && nowMs - startMs >= settleMs) {
            isReconciled = true;
        }
        List<UnconfirmedAbort> eligible = unconfirmedAborts.stream()
                .filter(each -> nowMs - each.sinceMs() >= settleMs)
                .toList();
        long expected = context.capacity().minStartedCount(settleMs)
                - cancelledLeases.stream().filter(lease -> lease.isStarted).count();
        if (eligible.isEmpty() || requests > expected) {
            return;
        }
        unconfirmedAborts.removeAll(eligible);
        eligible.forEach(each -> release(each.lease(), each.onReleased()));
    }

    private void release(Lease lease, Runnable onReleased) {
        cancelledLeases.remove(lease);
        context.capacity().release(lease);
        onReleased.run();
    }

    /**
     * Returns the time after which the engine's request count reflects a cancellation, in milliseconds.
     *
     * <p>A retained prefill result has no connection that could be closed; it ends when it expires.
     */
    private int settleTimeMs() {
        return Math.max(MIN_SETTLE_TIME_MS, context.options().prefillExpiryMs());
    }

    private static boolean isUnsupported(Throwable failure) {
        return HttpEngineClient.failureOf(failure).code() == ErrorCode.METHOD_NOT_ALLOWED;
    }

    /** Handles the boot id in a response of the engine; a change means that the engine has restarted. */
    void onBootId(String receivedBootId) {
        if (receivedBootId.equals(bootId)) {
            return;
        }
        boolean isFirstBootId = bootId.isEmpty();
        bootId = receivedBootId;
        if (isFirstBootId || !context.isEnabled(SidecarSafeguard.BOOT_DETECTION)) {
            return;
        }
        onRestart();
    }

    private void onRestart() {
        LOG.infof("Engine restarted with boot id \"%s\"; failing its open requests", bootId);
        restartCount++;
        context.capacity().onEngineRestart();
        List<UnconfirmedAbort> lost = List.copyOf(unconfirmedAborts);
        unconfirmedAborts.clear();
        cancelledLeases.clear();
        restartListeners.forEach(Runnable::run);
        lost.forEach(each -> each.onReleased().run());
    }

    /** Aborts a request in the engine; once that is confirmed, releases the lease and runs the action. */
    void abort(Lease lease, Runnable onReleased) {
        if (!context.isEnabled(SidecarSafeguard.ABORT_ON_CANCEL)) {
            context.capacity().release(lease);
            onReleased.run();
            return;
        }
        cancelledLeases.add(lease);
        abort(lease, restartCount, 1, onReleased);
    }

    private void abort(Lease lease, long expectedRestartCount, int attempt, Runnable onReleased) {
        if (isClosed) {
            return;
        }
        if (restartCount != expectedRestartCount) {
            onReleased.run();
            return;
        }
        context.engine()
                .abort(lease.engineId())
                .whenComplete((done, failure) -> context.run(() -> {
                    if (failure == null) {
                        release(lease, onReleased);
                        return;
                    }
                    boolean isAbandoned = isUnsupported(failure) || attempt >= MAX_ABORT_ATTEMPTS;
                    if (isAbandoned
                            && context.isEnabled(SidecarSafeguard.REQUEST_COUNT_AFTER_FAILED_ABORT)
                            && restartCount == expectedRestartCount) {
                        unconfirmedAborts.add(new UnconfirmedAbort(lease, context.nowMs(), onReleased));
                        return;
                    }
                    LOG.debugf(
                            "Abort of engine request %s failed; retrying: %s",
                            lease.engineId(), HttpEngineClient.failureOf(failure));
                    context.scheduler()
                            .schedule(
                                    ABORT_RETRY_MS, () -> abort(lease, expectedRestartCount, attempt + 1, onReleased));
                }));
    }

    /** A cancelled request whose end the engine has not confirmed. */
    private record UnconfirmedAbort(Lease lease, long sinceMs, Runnable onReleased) {}
}
