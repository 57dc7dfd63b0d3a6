package io.chivehollow.coordination.forwarding.flow;

import java.util.function.Consumer;
import java.util.function.Predicate;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.reserve.MemoryDemand;
import io.chivehollow.coordination.forwarding.reserve.MemoryReservation;
import io.chivehollow.coordination.forwarding.reserve.MemoryTicket;
import io.chivehollow.coordination.forwarding.reserve.OutputEstimate;
import org.jspecify.annotations.Nullable;

/**
 * The memory of one request: the wait for it, and the reservation until a run uses it.
 *
 * <p>Invariant: at most one of a place in the queue and a reservation exists, and a reservation that is not used is
 * dropped. Used on the event loop of the forwarding role only.
 */
final class MemoryStage {

    /** Share of the target for which a request waits for memory; the rest is for reading its prompt. */
    private static final int WAIT_PERCENT = 45;

    /** Longest wait of a request that is late anyhow; callers give a stream up after 3.6 s without an event. */
    private static final long MAX_LATE_WAIT_MS = 1_500;

    private static final long MS_TO_NANOS = 1_000_000;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final RequestTrace trace;
    private @Nullable MemoryTicket ticket;
    private @Nullable MemoryReservation reserved;

    MemoryStage(ForwardServices services, ForwardRequest request, RequestTrace trace) {
        this.services = services;
        this.request = request;
        this.trace = trace;
    }

    @Nullable
    MemoryReservation reserved() {
        return reserved;
    }

    /**
     * Waits for memory; a request that cannot meet its target any more waits longer, but behind the others.
     *
     * @param admitted the route and its service
     * @param hasFailed whether the request was sent before
     * @param isOut whether a failure domain is out of service
     * @param onGranted run when the memory is reserved
     * @param onRefused told why there is none in time
     */
    void request(
            Admission.Admitted admitted,
            boolean hasFailed,
            Predicate<FailureDomain> isOut,
            Runnable onGranted,
            Consumer<String> onRefused) {
        boolean isLate =
                isReturn(admitted) || hasFailed && waitedMs() > admitted.route().getTargetMs();
        // The time of an attempt that failed was not spent on waiting.
        long maxWaitMs = maxWaitMs(admitted, isLate) - (hasFailed ? 0 : waitedMs());
        long tokens = neededTokens();
        MemoryDemand demand = new MemoryDemand(admitted.service(), tokens, isLate, Math.max(1, maxWaitMs), isOut);
        ticket = services.memory().add(demand, granted -> {
            ticket = null;
            if (granted == null) {
                onRefused.accept("No backend server has memory for " + tokens + " tokens");
            } else {
                trace.onOutcome("memory at " + granted.backend().id());
                reserved = granted;
                granted.backend().onReserve(granted.tokens());
                onGranted.run();
            }
        });
    }

    /** Returns whether a request that has not been sent may go on to wait. */
    boolean mayWait(Admission.Admitted admitted) {
        return waitedMs() < maxWaitMs(admitted, isReturn(admitted));
    }

    private static long maxWaitMs(Admission.Admitted admitted, boolean isLate) {
        return isLate ? MAX_LATE_WAIT_MS : admitted.route().getTargetMs() * WAIT_PERCENT / 100;
    }

    /** Returns the memory that the request most likely needs; a run that needs more may be preempted. */
    private long neededTokens() {
        return request.fields().promptTokens()
                + OutputEstimate.reservedTokens(
                        request.fields().expectedOutputTokens(),
                        request.fields().maxOutputTokens());
    }

    private long waitedMs() {
        return (services.nanoTime().getAsLong() - request.arrivalNanos()) / MS_TO_NANOS;
    }

    /** Returns whether the caller has spent a part of its time elsewhere, on an attempt that was refused. */
    private boolean isReturn(Admission.Admitted admitted) {
        long deadlineMs = request.fields().deadlineMs().orElse(Long.MAX_VALUE / 2);
        return deadlineMs + admitted.route().getTargetMs() < admitted.route().getTimeoutMs();
    }

    /** Ends the reservation: the run that uses it counts its memory itself, and one that is not used is dropped. */
    void end(boolean isUsed) {
        MemoryReservation memory = reserved;
        if (memory == null) {
            return;
        }
        reserved = null;
        memory.backend().onReserveEnd(memory.tokens());
        if (!isUsed) {
            services.memory().drop(memory);
        }
    }

    /** Gives the place in the queue and the reservation up. */
    void cancel() {
        if (ticket != null) {
            ticket.cancel();
            ticket = null;
        }
        end(false);
    }
}
