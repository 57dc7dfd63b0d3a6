package io.chivehollow.coordination.forwarding.flow;

import java.util.function.Consumer;
import java.util.function.Predicate;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import io.chivehollow.coordination.forwarding.queue.WaitLimits;
import io.chivehollow.coordination.forwarding.reserve.MemoryRequest;
import io.chivehollow.coordination.forwarding.reserve.MemoryReservation;
import io.chivehollow.coordination.forwarding.reserve.OutputEstimate;
import io.chivehollow.coordination.forwarding.reserve.QueuedMemoryRequest;
import org.jspecify.annotations.Nullable;

/**
 * The stage in which one request waits for memory and holds its reservation until a run uses it.
 *
 * <p>Invariant: the request never has both a queued memory request and a reservation, and a reservation that is not
 * used is released. Used on the event loop of the forwarding role only.
 */
final class MemoryStage {

    /** Share of the target time for which a request waits for memory; the rest is for the prefill. */
    private static final int WAIT_PERCENT = 45;

    /**
     * Longest wait of a request that misses its target in any case; callers abandon a stream after 3.6 s without an
     * event.
     */
    private static final long MAX_LATE_WAIT_MS = 1_500;

    private static final long MS_TO_NANOS = 1_000_000;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final RequestTrace trace;
    private @Nullable QueuedMemoryRequest queued;
    private @Nullable MemoryReservation reservation;

    MemoryStage(ForwardServices services, ForwardRequest request, RequestTrace trace) {
        this.services = services;
        this.request = request;
        this.trace = trace;
    }

    @Nullable
    MemoryReservation reservation() {
        return reservation;
    }

    /**
     * Requests memory and waits for it. A request that can no longer meet its target waits longer, but behind the
     * others.
     *
     * @param admitted the admitted request
     * @param hasEarlierAttempt whether the request was already sent to a backend server or has lost a reservation
     * @param isOutOfService tells whether a failure domain is out of service
     * @param onGranted run when the memory is reserved
     * @param onRefused receives the reason if no memory was reserved in time
     */
    void requestMemory(
            Admission.AdmittedRequest admitted,
            boolean hasEarlierAttempt,
            Predicate<FailureDomain> isOutOfService,
            Runnable onGranted,
            Consumer<String> onRefused) {
        boolean isLate = isLate(admitted, hasEarlierAttempt);
        long maxWaitMs = remainingWaitMs(admitted, hasEarlierAttempt);
        EngineEstimates estimates = services.selector().estimates(admitted.service());
        if (!hasEarlierAttempt) {
            estimates.onExpectedOutput(request.fields().expectedOutputTokens());
        }
        long tokens = neededTokens(estimates.medianOutputTokens());
        MemoryRequest memoryRequest = new MemoryRequest(
                admitted.service(),
                tokens,
                admitted.times().reservationMs(),
                isLate,
                Math.max(1, maxWaitMs),
                isOutOfService,
                admitted.urgency(),
                services.admission().serverMemoryTokens(admitted.service()));
        queued = services.memoryQueue().add(memoryRequest, granted -> {
            queued = null;
            if (granted == null) {
                onRefused.accept("No backend server has memory for " + tokens + " tokens");
            } else {
                trace.addTimedStep("memory at " + granted.backend().id());
                reservation = granted;
                granted.backend().onReserve(granted.tokens());
                onGranted.run();
            }
        });
        traceWait(admitted.urgency(), queued);
    }

    private void traceWait(@Nullable Urgency urgency, @Nullable QueuedMemoryRequest waiting) {
        if (urgency != null && waiting != null) {
            trace.addTimedStep("waits for memory with rank " + urgency.rank() + " behind "
                    + services.memoryQueue().countBefore(waiting));
        }
    }

    /** Returns the time for which the request may wait for memory from now on; see {@link #requestMemory}. */
    long remainingWaitMs(Admission.AdmittedRequest admitted, boolean hasEarlierAttempt) {
        boolean isLate = isLate(admitted, hasEarlierAttempt);
        if (hasEarlierAttempt) {
            // The time of a failed attempt was not spent on waiting.
            return isLate ? MAX_LATE_WAIT_MS : maxWaitMs(admitted, false);
        }
        return maxWaitMs(admitted, isLate) - elapsedMs();
    }

    private boolean isLate(Admission.AdmittedRequest admitted, boolean hasEarlierAttempt) {
        return isCallerRetry(admitted)
                || hasEarlierAttempt && elapsedMs() > admitted.route().getTargetMs();
    }

    /** Returns whether a request that has not been sent yet may continue to wait. */
    boolean mayWait(Admission.AdmittedRequest admitted) {
        return elapsedMs() < maxWaitMs(admitted, isCallerRetry(admitted));
    }

    private long maxWaitMs(Admission.AdmittedRequest admitted, boolean isLate) {
        long targetMs = admitted.route().getTargetMs();
        if (admitted.urgency() == null) {
            return isLate ? MAX_LATE_WAIT_MS : targetMs * WAIT_PERCENT / 100;
        }
        double prefillMs = request.fields().promptTokens()
                / services.selector().estimates(admitted.service()).prefillTokensPerMs();
        return isLate ? WaitLimits.lateMs(targetMs, admitted.gapMs()) : WaitLimits.onTimeMs(targetMs, prefillMs);
    }

    /** Returns the memory in tokens that the request most likely needs; a run that needs more may be preempted. */
    private long neededTokens(double medianOutputTokens) {
        return request.fields().promptTokens()
                + OutputEstimate.reservedTokens(
                        request.fields().expectedOutputTokens(),
                        request.fields().maxOutputTokens(),
                        medianOutputTokens);
    }

    private long elapsedMs() {
        return (services.nanoTime().getAsLong() - request.arrivalNanos()) / MS_TO_NANOS;
    }

    /**
     * Returns whether the request is a retry by its caller, which has spent a part of its time on a refused attempt.
     */
    private boolean isCallerRetry(Admission.AdmittedRequest admitted) {
        long deadlineMs = request.fields().deadlineMs().orElse(Long.MAX_VALUE / 2);
        return deadlineMs + admitted.route().getTargetMs() < admitted.route().getTimeoutMs();
    }

    /** Ends the reservation: a run that uses it counts the memory itself; an unused reservation is released. */
    void endReservation(boolean isUsed) {
        MemoryReservation memory = reservation;
        if (memory == null) {
            return;
        }
        reservation = null;
        memory.backend().onReserveEnd(memory.tokens());
        if (!isUsed) {
            services.memoryQueue().release(memory);
        }
    }

    /** Cancels the queued memory request and releases the reservation. */
    void cancel() {
        if (queued != null) {
            queued.cancel();
            queued = null;
        }
        endReservation(false);
    }
}
