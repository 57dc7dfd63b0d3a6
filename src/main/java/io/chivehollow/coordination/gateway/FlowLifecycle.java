package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.gateway.TokenBudget.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * State that every request flow has from its start to its end: its entry in the open requests, its timers and its
 * token budget.
 *
 * <p>{@link #register} and {@link #reserve} are called without the lock of the flow, all other methods with it.
 * Invariants: after {@link #close} no timer is pending and none is added; the budget is settled exactly once.
 */
final class FlowLifecycle {

    private final GatewayCore core;
    private final OpenRequest flow;
    private final List<Scheduler.Timer> timers = new ArrayList<>();
    private @Nullable Reservation budget;
    private boolean isEnded;

    /** Creates the lifecycle of a flow; the monitor of the flow is the lock. */
    FlowLifecycle(GatewayCore core, OpenRequest flow) {
        this.core = core;
        this.flow = flow;
    }

    boolean isEnded() {
        return isEnded;
    }

    boolean hasBudget() {
        return budget != null;
    }

    /** Registers the request; returns false if the flow has ended already because its caller disconnected. */
    boolean register(Runnable onDisconnect, Runnable onDeadline) {
        core.openRequests().add(flow);
        core.retryBudget().onRequest();
        flow.context().cancellation().onCancel(onDisconnect);
        synchronized (flow) {
            schedule(flow.context().remainingMs(core.clock()), onDeadline);
            return !isEnded;
        }
    }

    /** Runs the task after a delay, unless the flow has ended by then. */
    void schedule(long delayMs, Runnable task) {
        if (!isEnded) {
            timers.add(core.scheduler().schedule(delayMs, task));
        }
    }

    /** Reserves tokens, waiting for at most the queue timeout of the request. */
    void reserve(long tokens, BiConsumer<@Nullable Reservation, @Nullable Throwable> onBudget) {
        RequestContext context = flow.context();
        CompletableFuture<Reservation> reserving =
                core.budget().reserve(context.team(), tokens, core.maxQueueMs(context));
        context.cancellation().onCancel(() -> reserving.cancel(false));
        reserving.whenComplete(onBudget);
    }

    /**
     * Stores the reservation and returns true. If the flow has ended in the meantime, refunds the reservation and
     * returns false.
     */
    boolean attachBudget(@Nullable Reservation reservation) {
        if (!isEnded) {
            budget = reservation;
            return true;
        }
        if (reservation != null) {
            reservation.settle(0);
        }
        return false;
    }

    void close(long usedTokens) {
        isEnded = true;
        timers.forEach(Scheduler.Timer::cancel);
        timers.clear();
        if (budget != null) {
            budget.settle(usedTokens);
        }
        core.openRequests().remove(flow);
    }
}
