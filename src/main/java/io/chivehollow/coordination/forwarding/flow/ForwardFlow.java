package io.chivehollow.coordination.forwarding.flow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendSelector;
import io.chivehollow.coordination.forwarding.flow.PrefillStage.PrefilledPrompt;
import io.chivehollow.coordination.forwarding.reserve.MemoryReservation;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Processes one forwarded request from its admission to the end of its response, through the stages budget, memory,
 * prefill and run.
 *
 * <p>Invariants: a non-idempotent call is retried only after a backend server has stated that it did not run the call,
 * or if no byte of it was sent. A response that states "not run" is sent only if this holds for every backend server to
 * which the request was sent. Used on the event loop of the forwarding role only.
 */
public final class ForwardFlow {

    /** Pause before a request looks for a backend server again after all of them were full or none was available. */
    private static final long POLL_PAUSE_MS = 40;

    /** The longest wait for a free backend server is the target time divided by this number. */
    private static final int SERVER_WAIT_DIVISOR = 4;

    /**
     * Shortest retry time for callers of models that have no memory left. Bursts last four to five seconds in the
     * installations. Most callers that retried during the burst were refused again.
     */
    private static final long MIN_MEMORY_RETRY_MS = 3_000;

    /**
     * Random part of the retry time. The longest retry time is 4.5 s; before a retry, callers wait for at most 4.7 s, a
     * third of their total time of 14 s.
     */
    private static final long MEMORY_RETRY_SPREAD_MS = 1_500;

    /** Shortest retry time if all backend servers leave; new ones are found in the list, which is read each second. */
    private static final long MIN_REPLACEMENT_MS = 1_000;

    /** Random part of the retry time if no backend server accepts work, so that not all callers return together. */
    private static final long RETRY_SPREAD_MS = 500;

    /** Retry time for prompts that may be tried again after the first pause of the crash ledger. */
    private static final long BLOCKED_RETRY_MS = 30_000;

    private static final String SHUTDOWN_MESSAGE = "The instance shuts down";

    private static final long MS_TO_NANOS = 1_000_000;

    private static final long NEVER_MS = BackendSelector.NEVER_NANOS / MS_TO_NANOS;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final CallerSink sink;
    private final Runnable onEnded;
    private final RequestTrace trace;
    private final OpenAttempt openAttempt;
    private final BudgetStage budget;
    private final MemoryStage memory;
    private final PrefillStage prefill;
    private final RunStage run;
    private final RequestProgress progress;
    private Admission.@Nullable AdmittedRequest admitted;
    private @Nullable ScheduledFuture<?> timeout;
    private long endNanos;
    private boolean isTrial;
    private boolean hasLostReservation;
    private boolean isEnded;

    private ForwardFlow(ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onEnded) {
        this.services = services;
        this.request = request;
        this.sink = sink;
        this.onEnded = onEnded;
        this.trace = new RequestTrace(request, services.nanoTime());
        this.openAttempt = new OpenAttempt(services, trace);
        this.budget = new BudgetStage(services, request, trace);
        this.memory = new MemoryStage(services, request, trace);
        this.prefill = new PrefillStage(services, request, trace, openAttempt, this::proceed);
        this.run = new RunStage(services, request, trace, openAttempt, sink, new RunEnds());
        this.progress = new RequestProgress(run, openAttempt);
    }

    /** Starts to process a request; the runnable is run when the processing has ended. */
    public static ForwardFlow start(
            ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onEnded) {
        ForwardFlow flow = new ForwardFlow(services, request, sink, onEnded);
        flow.admit();
        return flow;
    }

    /** Refuses a request that has been received while the process shuts down. */
    public static void refuseAtShutdown(ForwardServices services, ForwardRequest request, CallerSink sink) {
        ForwardFlow flow = new ForwardFlow(services, request, sink, () -> {});
        flow.refuse(Refusal.retryAfter(ErrorCode.SHUTTING_DOWN, SHUTDOWN_MESSAGE, Refusal.OVERLOAD_RETRY_MS));
    }

    private void admit() {
        Optional<Admission.AdmittedRequest> result = services.admission().admit(request, this::refuse);
        if (result.isEmpty()) {
            return;
        }
        Admission.AdmittedRequest accepted = result.get();
        admitted = accepted;
        progress.onAdmitted(accepted);
        trace.onAdmitted(accepted);
        if (request.fields().requestId() == null) {
            refuse(Refusal.of(ErrorCode.INVALID_REQUEST, "The request has no request id"));
            return;
        }
        long limitMs = Math.min(
                accepted.route().getTimeoutMs(), request.fields().deadlineMs().orElse(Long.MAX_VALUE));
        endNanos = request.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        long remainingMs = remainingMs();
        if (remainingMs <= 0) {
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, "The deadline has passed", Refusal.OVERLOAD_RETRY_MS));
            return;
        }
        timeout = services.loop().schedule(this::onTimeout, remainingMs, TimeUnit.MILLISECONDS);
        services.retryBudget().onRequest(accepted.service());
        if (isBlocked()) {
            refuseBlocked();
            return;
        }
        Optional<TeamId> team = accepted.limitedTeam();
        if (team.isEmpty()) {
            proceed();
        } else {
            budget.reserve(accepted, team.get(), this::proceed, this::refuse);
        }
    }

    private void proceed() {
        if (isEnded) {
            return;
        }
        if (isBlocked()) {
            refuseBlocked();
            return;
        }
        Admission.AdmittedRequest accepted = admitted();
        MemoryReservation reserved = memory.reservation();
        if (reserved != null
                && !reserved.backend().mayReceive(services.nanoTime().getAsLong())) {
            trace.addTimedStep("backend server " + reserved.backend().id() + " gets no more requests");
            memory.endReservation(false);
            hasLostReservation = true;
            reserveMemory(accepted);
        } else if (reserved != null) {
            proceedWithMemory(accepted, reserved);
        } else if (accepted.route().getGeneration()) {
            reserveMemory(accepted);
        } else {
            runAtLeastLoadedServer(accepted);
        }
    }

    /**
     * Returns whether the prompt is likely to crash its server; it is not once a trial has started or an answer to it
     * has begun.
     */
    private boolean isBlocked() {
        List<String> parts = request.fields().promptParts();
        if (isTrial || run.relay().hasStarted() || !services.crashes().isBlocked(parts)) {
            return false;
        }
        isTrial = services.crashes().startTrial(parts);
        return !isTrial;
    }

    private void refuseBlocked() {
        String message = "Backend servers crashed when they began to answer prompts with the same parts";
        refuse(
                run.isRunPossible()
                        ? Refusal.mayHaveRun(ErrorCode.BACKEND_FAILED, message)
                        : Refusal.retryAfter(ErrorCode.PROMPT_BLOCKED, message, BLOCKED_RETRY_MS));
    }

    private void runAtLeastLoadedServer(Admission.AdmittedRequest accepted) {
        Optional<Backend> server = services.selector()
                .selectServer(
                        accepted.service(),
                        request.body().length,
                        openAttempt.triedServers(),
                        this::isOutOfService,
                        services.nanoTime().getAsLong());
        if (server.isPresent() && !run.history().isExhausted()) {
            sendRun(accepted, server.get(), null);
        } else {
            waitOrRefuse(server.isPresent() ? "Backend servers are at capacity" : "No backend server is available");
        }
    }

    private void proceedWithMemory(Admission.AdmittedRequest accepted, MemoryReservation reserved) {
        Optional<Backend> prefillServer = needsPrefill()
                ? prefill.selectServer(accepted, reserved.backend(), this::isOutOfService)
                : Optional.empty();
        if (prefillServer.isPresent()
                && (!prefill.isRetry() || services.retryBudget().tryAcquireSpare(accepted.service()))) {
            Backend server = prefillServer.get();
            prefill.send(accepted, server, requests(accepted).prefill(server, remainingMs()));
        } else if (prefill.isAbandoned()) {
            refuseOverloaded("No prefill server processed the prompt in time");
        } else {
            sendRun(accepted, reserved.backend(), reserved);
        }
    }

    /** Returns whether a prefill server should process the prompt; a resumed stream continues at a decode server. */
    private boolean needsPrefill() {
        boolean isNew = request.fields().lastEventId().isEmpty()
                && run.relay().lastEventId().isEmpty();
        return isNew && prefill.isPossible();
    }

    private void reserveMemory(Admission.AdmittedRequest accepted) {
        if (run.history().isExhausted()) {
            fail(ErrorCode.OVERLOADED, "Backend servers are at capacity");
        } else if (isUnavailableFor(memory.remainingWaitMs(accepted, hasEarlierAttempt()))) {
            refuseUnavailable();
        } else if (!hasEarlierAttempt()
                && services.selector()
                        .isPrefillBusy(
                                accepted.promptDemand(request),
                                this::isOutOfService,
                                services.nanoTime().getAsLong())) {
            waitForPrefill(accepted);
        } else {
            memory.requestMemory(
                    accepted, hasEarlierAttempt(), this::isOutOfService, this::proceed, this::refuseWithoutMemory);
        }
    }

    /** Waits without a memory reservation while the prefill queue is so long that the first output would be late. */
    private void waitForPrefill(Admission.AdmittedRequest accepted) {
        if (memory.mayWait(accepted)) {
            services.loop().schedule(this::proceed, POLL_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            refuseOverloaded("All prefill servers are busy");
        }
    }

    /**
     * Refuses the request with a randomized retry time, so that the retries of refused callers are spread over the time
     * after the burst has ended, but not before the queue is expected to have drained.
     */
    private void refuseOverloaded(String message) {
        long randomMs = MIN_MEMORY_RETRY_MS + ThreadLocalRandom.current().nextLong(MEMORY_RETRY_SPREAD_MS);
        long drainMs = Math.min(
                services.memoryQueue().drainMs(admitted().service()), MIN_MEMORY_RETRY_MS + MEMORY_RETRY_SPREAD_MS);
        refuseNotRun(message, Math.max(randomMs, drainMs));
    }

    /** Refuses the request with the retry time, or ends it with an error if it may have run. */
    private void refuseNotRun(String message, long retryMs) {
        if (run.isRunPossible() || run.relay().hasStarted()) {
            fail(ErrorCode.OVERLOADED, message);
        } else {
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, message, retryMs));
        }
    }

    private void refuseWithoutMemory(String message) {
        if (unavailableMs() > 0) {
            refuseUnavailable();
        } else {
            refuseOverloaded(message);
        }
    }

    /** Returns the time until a backend server of the service accepts work again, as far as the servers state it. */
    private long unavailableMs() {
        Admission.AdmittedRequest accepted = admitted();
        long nanos = services.selector()
                .unavailableNanos(
                        accepted.service(),
                        accepted.route().getGeneration(),
                        this::isOutOfService,
                        services.nanoTime().getAsLong());
        return nanos == 0 ? 0 : nanos / MS_TO_NANOS + 1;
    }

    /** Returns whether no backend server accepts work within the given time or before the deadline. */
    private boolean isUnavailableFor(long waitMs) {
        return unavailableMs() > Math.max(0, Math.min(waitMs, remainingMs()));
    }

    private boolean hasEarlierAttempt() {
        return run.history().hasAttempt() || hasLostReservation;
    }

    /** Refuses the request because all backend servers of the service have stated that they want no work. */
    private void refuseUnavailable() {
        long heldMs = unavailableMs();
        boolean isLeaving = heldMs > NEVER_MS;
        refuseNotRun(
                isLeaving
                        ? "All backend servers of the service leave"
                        : "No backend server of the service wants a request for " + heldMs + " ms",
                (isLeaving ? MIN_REPLACEMENT_MS : heldMs)
                        + ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MS));
    }

    private void waitOrRefuse(String reason) {
        long waitNanos = admitted().route().getTargetMs() * MS_TO_NANOS / SERVER_WAIT_DIVISOR - elapsedNanos();
        if (isUnavailableFor(waitNanos / MS_TO_NANOS)) {
            refuseUnavailable();
            return;
        }
        long heldMs = unavailableMs();
        boolean mayWait = waitNanos > 0;
        if (mayWait && !run.history().isExhausted()) {
            openAttempt.forgetTriedServers();
            // Waiting requests return one after another, and not all in the moment in which a server accepts them.
            long pauseMs = heldMs == 0
                    ? POLL_PAUSE_MS
                    : heldMs + ThreadLocalRandom.current().nextLong(POLL_PAUSE_MS);
            services.loop().schedule(this::proceed, pauseMs, TimeUnit.MILLISECONDS);
        } else {
            fail(ErrorCode.OVERLOADED, reason);
        }
    }

    private boolean isOutOfService(FailureDomain domain) {
        return services.admission().isOutOfService(domain);
    }

    private BackendRequests requests(Admission.AdmittedRequest accepted) {
        return new BackendRequests(services, request, accepted);
    }

    private void sendRun(Admission.AdmittedRequest accepted, Backend backend, @Nullable MemoryReservation reserved) {
        if (run.history().hasAttempt() && !services.retryBudget().tryAcquire(accepted.service())) {
            fail(ErrorCode.OVERLOADED, "The retry budget of the service is exhausted");
            return;
        }
        prefill.forgetExpired();
        PrefilledPrompt source = prefill.result();
        run.send(
                accepted,
                backend,
                source == null ? request.fields().promptTokens() : 0,
                reserved == null ? 0 : reserved.tokens(),
                requests(accepted)
                        .run(
                                backend,
                                remainingMs(),
                                source == null ? null : source.transferSource(),
                                reserved,
                                run.relay().lastEventId()));
        // From here on the attempt counts the memory itself.
        memory.endReservation(true);
    }

    /** Reads the response of the backend server on, after the caller has taken what was sent to it. */
    public void onCallerWritable() {
        openAttempt.setReading(true);
    }

    private void onTimeout() {
        openAttempt.reportSlow(admitted().route().getTargetMs() * MS_TO_NANOS);
        fail(ErrorCode.DEADLINE_EXCEEDED, "The request was not completed before its deadline");
    }

    /** Ends the request with an error, which states "not run" only if no backend server can have run the request. */
    private void fail(ErrorCode code, String message) {
        if (isEnded) {
            return;
        }
        if (run.relay().hasStarted()) {
            trace.addTimedStep("cut off: " + message);
            end("aborted");
            sink.abort();
        } else if (run.isRunPossible()) {
            ErrorCode reported = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.BACKEND_FAILED;
            refuse(Refusal.mayHaveRun(reported, message));
        } else {
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, message, Refusal.OVERLOAD_RETRY_MS));
        }
    }

    private void refuse(Refusal refusal) {
        if (isEnded) {
            return;
        }
        trace.addTimedStep(refusal.code().wireName() + ": " + refusal.message());
        end(refusal.code().wireName());
        sink.refuse(refusal);
    }

    /** Returns how far the request has come and what is held for it. */
    public RequestProgress progress() {
        return progress;
    }

    /** Ends the request with an error because the process holds too much for callers and backend servers. */
    public void letGo(String reason) {
        fail(ErrorCode.OVERLOADED, reason);
    }

    /** Ends the request with an error because the process ends. */
    public void shutDown() {
        fail(ErrorCode.SHUTTING_DOWN, SHUTDOWN_MESSAGE);
    }

    /** Cancels the request because its caller has disconnected. */
    public void cancel() {
        if (!isEnded) {
            trace.addTimedStep("the caller has left");
            end("cancelled");
        }
    }

    private void end(String outcome) {
        isEnded = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        boolean wasSent = run.isRunPossible();
        openAttempt.cancel();
        if (!wasSent) {
            prefill.release();
        }
        memory.cancel();
        services.memoryQueue().onMemoryReleased(admitted == null ? "" : admitted.service());
        run.release();
        budget.end(wasSent && admitted != null ? admitted.cost(request) : 0);
        long totalNanos = services.nanoTime().getAsLong() - request.arrivalNanos();
        services.metrics().onOutcome(teamName(), outcome, totalNanos);
        trace.write(outcome, totalNanos);
        onEnded.run();
    }

    private String teamName() {
        return admitted == null ? Admission.NO_TEAM : admitted.teamName();
    }

    private long elapsedNanos() {
        return services.nanoTime().getAsLong() - request.arrivalNanos();
    }

    private long remainingMs() {
        return (endNanos - services.nanoTime().getAsLong()) / MS_TO_NANOS;
    }

    private Admission.AdmittedRequest admitted() {
        if (admitted == null) {
            throw new IllegalStateException("The request has not been admitted yet");
        }
        return admitted;
    }

    /** Decides how the request goes on after a run. */
    private final class RunEnds implements RunStage.Listener {

        @Override
        public void onNotRun(int status) {
            if (status != ResponseChecks.MISDIRECTED) {
                // The result may have been fetched or have expired; the next backend server runs the prefill itself.
                prefill.release();
            }
            proceed();
        }

        @Override
        public void onRetry() {
            proceed();
        }

        @Override
        public void onInterrupted() {
            if (isEnded) {
                return;
            }
            prefill.forget();
            if (hasTimeLeft() && run.history().mayRepeat(admitted().route(), run.relay())) {
                services.metrics().onRetry("broken");
                run.relay().onInterrupted();
                proceed();
            } else {
                fail(ErrorCode.BACKEND_FAILED, "The backend server did not complete its response");
            }
        }

        @Override
        public void onComplete(int status) {
            end("status_" + status);
        }

        @Override
        public boolean hasTimeLeft() {
            return remainingMs() > 0;
        }
    }
}
