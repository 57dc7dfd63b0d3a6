package io.chivehollow.coordination.sidecar;

import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.engine.EngineCall;
import io.chivehollow.protocol.engine.EngineException;
import io.chivehollow.protocol.engine.HttpEngineClient;
import org.jspecify.annotations.Nullable;

/**
 * The resources of one call: its lease, its request in the engine and a timer for its current state.
 *
 * <p>Used on the sidecar's event loop. Invariant: the lease of a request that is in the engine is released only when
 * the engine has confirmed the abort, has ended the request itself, or has restarted.
 *
 * @param <T> the engine's result
 */
final class EngineResources<T> {

    private final SidecarContext context;
    private @Nullable Lease lease;
    private @Nullable EngineCall<T> engineCall;
    private Scheduler.@Nullable Timer timer;

    EngineResources(SidecarContext context) {
        this.context = context;
    }

    @Nullable
    Lease lease() {
        return lease;
    }

    void setLease(Lease granted) {
        lease = granted;
    }

    void schedule(long delayMs, Runnable task) {
        timer = context.scheduler().schedule(delayMs, task);
    }

    void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Stores the request that was sent to the engine; the callbacks run on the event loop when it ends. */
    void track(EngineCall<T> running, Consumer<T> onResult, Consumer<EngineException> onFailure) {
        engineCall = running;
        running.result()
                .whenComplete((result, failure) -> context.run(() -> {
                    if (failure == null) {
                        onResult.accept(result);
                        return;
                    }
                    onFailure.accept(HttpEngineClient.failureOf(failure));
                }));
    }

    /** Reports a timeout of the engine to the cold start ramp; other failures have no effect. */
    void recordFailure(EngineException failure) {
        if (failure.code() == ErrorCode.DEADLINE_EXCEEDED) {
            context.capacity().onFailure();
        }
    }

    /** Cancels the request in the engine, releases the lease once that is confirmed, and then runs the action. */
    void cancel(boolean isInEngine, Runnable onReleased) {
        if (engineCall != null && context.isEnabled(SidecarSafeguard.ABORT_ON_CANCEL)) {
            engineCall.cancel();
        }
        if (isInEngine && lease != null) {
            context.monitor().abort(lease, onReleased);
            return;
        }
        release();
        onReleased.run();
    }

    /** Releases the lease of a request that the engine does not hold. */
    void release() {
        if (lease != null) {
            context.capacity().release(lease);
        }
    }

    /** Closes the connection of a request that the engine lost in a restart. */
    void onEngineRestart() {
        if (engineCall != null) {
            engineCall.cancel();
        }
    }
}
