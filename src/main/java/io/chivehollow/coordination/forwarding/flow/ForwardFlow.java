package io.chivehollow.coordination.forwarding.flow;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.forwarding.adapter.BackendFields;
import io.chivehollow.coordination.forwarding.adapter.PrefillResult;
import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendCall;
import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.chivehollow.coordination.forwarding.backend.BackendSelector;
import io.chivehollow.coordination.forwarding.backend.BodyCollector;
import io.chivehollow.coordination.forwarding.backend.ShortResponse;
import io.chivehollow.coordination.forwarding.reserve.MemoryReservation;
import io.chivehollow.coordination.gateway.TokenBudget.Reservation;
import io.chivehollow.protocol.wire.RepeatRule;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Processes one forwarded request from its admission to the end of its response.
 *
 * <p>Invariants: a non-idempotent call is retried only after a backend server has stated that it did not run the call,
 * or if no byte of it was sent. A response that states "not run" is sent only if this holds for every backend server to
 * which the request was sent. The response comes from one run, or from several runs of which each resumes after the
 * last event of the previous one. Used on the event loop of the forwarding role only.
 */
public final class ForwardFlow {

    /** Attempts to run one request, including refused ones; more attempts only add load to servers that are full. */
    private static final int MAX_ATTEMPTS = 3;

    /** Divides the target time into the longest wait for the team's budget; late refusals leave less time to retry. */
    private static final int BUDGET_WAIT_DIVISOR = 8;

    /** Shortest budget wait. A loan takes a round trip, sometimes a commit; a report in flight adds a round trip. */
    private static final long MIN_BUDGET_WAIT_MS = 80;

    /** Retry time for callers; full backend servers have capacity again after about the time of one request. */
    private static final long OVERLOAD_RETRY_MS = 300;

    /** Pause before a request looks for a backend server again after all of them were full or none was available. */
    private static final long POLL_PAUSE_MS = 40;

    /** Divides the target time into the longest wait for a free backend server. */
    private static final int SERVER_WAIT_DIVISOR = 4;

    /**
     * Shortest retry time for callers of models that have no memory left.
     *
     * <p>Bursts last four to five seconds in the deployments. Most callers that retried during the burst were refused
     * again.
     */
    private static final long MIN_MEMORY_RETRY_MS = 3_000;

    /** Random part of the retry time; callers wait for at most a third of their 14 s before a retry. */
    private static final long MEMORY_RETRY_SPREAD_MS = 1_500;

    /** Shorter than a reservation, which lasts 2 s; if a prefill is abandoned sooner, its work is mostly wasted. */
    private static final int PREFILL_TIMEOUT_MS = 1_800;

    /** Prefill servers to which one prompt is sent; the second one counts as a retry. */
    private static final int MAX_PREFILL_ATTEMPTS = 2;

    private static final long MS_TO_NANOS = 1_000_000;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final CallerSink sink;
    private final Runnable onEnded;
    private final RequestTrace trace;
    private final MemoryStage memory;
    private final Set<String> triedServers = new HashSet<>();
    private Admission.@Nullable AdmittedRequest admitted;
    private @Nullable Reservation budgetReservation;
    private @Nullable CompletableFuture<Reservation> pendingBudgetReservation;
    private @Nullable ScheduledFuture<?> timeout;
    private @Nullable BackendCall call;
    private @Nullable Attempt attempt;
    private @Nullable PrefilledPrompt prefilled;
    private ResponseRelay relay = ResponseRelay.none();
    private long endNanos;
    private int runAttempts;
    private int possibleRuns;
    private int prefillAttempts;
    private boolean isPrefillTooLate;
    private boolean mayHaveRun;
    private boolean isEnded;

    private ForwardFlow(ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onEnded) {
        this.services = services;
        this.request = request;
        this.sink = sink;
        this.onEnded = onEnded;
        this.trace = new RequestTrace(request, services.nanoTime());
        this.memory = new MemoryStage(services, request, trace);
    }

    /** Starts to process a request; the runnable is run when the processing has ended. */
    public static ForwardFlow start(
            ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onEnded) {
        ForwardFlow flow = new ForwardFlow(services, request, sink, onEnded);
        flow.admit();
        return flow;
    }

    private void admit() {
        Optional<Admission.AdmittedRequest> result = services.admission().admit(request, this::refuse);
        if (result.isEmpty()) {
            return;
        }
        Admission.AdmittedRequest accepted = result.get();
        admitted = accepted;
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
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, "The deadline has passed", OVERLOAD_RETRY_MS));
            return;
        }
        timeout = services.loop().schedule(this::onTimeout, remainingMs, TimeUnit.MILLISECONDS);
        services.retryBudget().onRequest(accepted.service());
        Optional<TeamId> team = accepted.limitedTeam();
        if (team.isEmpty()) {
            proceed();
        } else {
            reserveBudget(accepted, team.get());
        }
    }

    private void reserveBudget(Admission.AdmittedRequest accepted, TeamId team) {
        long cost = accepted.cost(request);
        long waitMs = Math.max(MIN_BUDGET_WAIT_MS, accepted.route().getTargetMs() / BUDGET_WAIT_DIVISOR);
        CompletableFuture<Reservation> requested = services.budget().reserve(team, cost, waitMs);
        pendingBudgetReservation = requested;
        requested.whenComplete((granted, failure) -> {
            if (services.loop().inEventLoop()) {
                onBudgetReserved(team, cost, granted, failure);
            } else {
                services.loop().execute(() -> onBudgetReserved(team, cost, granted, failure));
            }
        });
    }

    private void onBudgetReserved(TeamId team, long cost, @Nullable Reservation granted, @Nullable Throwable failure) {
        pendingBudgetReservation = null;
        if (isEnded) {
            if (granted != null) {
                granted.settle(0);
            }
        } else if (granted == null) {
            long costMs = services.budget().waitMs(team, cost).orElse(OVERLOAD_RETRY_MS);
            long retryMs = services.retrySchedule().retryMs(team, admitted().service(), costMs);
            trace.addStep("budget: " + failure);
            refuse(Refusal.retryAfter(ErrorCode.RATE_LIMITED, "The team exceeds its rate limit", retryMs));
        } else {
            budgetReservation = granted;
            proceed();
        }
    }

    private void proceed() {
        if (isEnded) {
            return;
        }
        Admission.AdmittedRequest accepted = admitted();
        if (accepted.route().getGeneration() && memory.reservation() == null) {
            reserveMemory(accepted);
            return;
        }
        MemoryReservation reserved = memory.reservation();
        Optional<Backend> prefillServer =
                reserved == null || !needsPrefill() ? Optional.empty() : prefillServer(accepted, reserved);
        boolean isFirst = prefillAttempts == 0;
        if (prefillServer.isPresent() && (isFirst || services.retryBudget().tryAcquire(accepted.service()))) {
            sendPrefill(prefillServer.get());
            return;
        }
        if (reserved != null && isPrefillTooLate && prefilled == null) {
            refuseOverloaded("No prefill server processed the prompt in time");
            return;
        }
        if (reserved != null) {
            sendRun(reserved.backend());
            return;
        }
        Optional<Backend> server = services.selector()
                .selectServer(
                        accepted.service(),
                        triedServers,
                        this::isOutOfService,
                        services.nanoTime().getAsLong());
        if (server.isPresent() && runAttempts < MAX_ATTEMPTS) {
            sendRun(server.get());
        } else {
            waitOrRefuse(server.isPresent() ? "Backend servers are at capacity" : "No backend server is available");
        }
    }

    /** Returns whether a prefill server should process the prompt. */
    private boolean needsPrefill() {
        boolean isNew =
                request.fields().lastEventId().isEmpty() && relay.lastEventId().isEmpty();
        return isNew && !isPrefillTooLate && prefilled == null && prefillAttempts < MAX_PREFILL_ATTEMPTS;
    }

    private Optional<Backend> prefillServer(Admission.AdmittedRequest accepted, MemoryReservation reserved) {
        return services.selector()
                .selectPrefillServer(
                        accepted.service(),
                        request.fields().promptTokens(),
                        triedServers,
                        reserved.backend(),
                        this::isOutOfService,
                        services.nanoTime().getAsLong());
    }

    private void reserveMemory(Admission.AdmittedRequest accepted) {
        if (runAttempts >= MAX_ATTEMPTS) {
            fail(ErrorCode.OVERLOADED, "Backend servers are at capacity");
        } else if (runAttempts == 0
                && services.selector()
                        .isPrefillBusy(
                                accepted.service(),
                                request.fields().promptTokens(),
                                this::isOutOfService,
                                services.nanoTime().getAsLong())) {
            waitForPrefill(accepted);
        } else {
            memory.requestMemory(
                    accepted, runAttempts > 0, this::isOutOfService, this::proceed, this::refuseOverloaded);
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
     * after the burst has ended.
     */
    private void refuseOverloaded(String message) {
        if (mayHaveRun || relay.hasStarted()) {
            fail(ErrorCode.OVERLOADED, message);
            return;
        }
        long retryMs = MIN_MEMORY_RETRY_MS + ThreadLocalRandom.current().nextLong(MEMORY_RETRY_SPREAD_MS);
        refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, message, retryMs));
    }

    private void waitOrRefuse(String reason) {
        boolean mayWait = elapsedNanos() < admitted().route().getTargetMs() * MS_TO_NANOS / SERVER_WAIT_DIVISOR;
        if (mayWait && runAttempts < MAX_ATTEMPTS) {
            triedServers.clear();
            services.loop().schedule(this::proceed, POLL_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            fail(ErrorCode.OVERLOADED, reason);
        }
    }

    private boolean isOutOfService(FailureDomain domain) {
        return services.admission().isOutOfService(domain);
    }

    private void sendPrefill(Backend backend) {
        prefillAttempts++;
        long prompt = request.fields().promptTokens();
        Attempt started = new Attempt(backend, prompt, 0, true);
        startAttempt(started);
        backend.promptQueue().onStart(started, prompt, services.nanoTime().getAsLong());
        call = services.connections()
                .send(backend, backendRequest(backend, true), new PrefillListener(started), PREFILL_TIMEOUT_MS);
    }

    private void sendRun(Backend backend) {
        Admission.AdmittedRequest accepted = admitted();
        if (runAttempts > 0 && !services.retryBudget().tryAcquire(accepted.service())) {
            fail(ErrorCode.OVERLOADED, "The retry budget of the service is exhausted");
            return;
        }
        runAttempts++;
        if (prefilled != null && services.nanoTime().getAsLong() - prefilled.expiryNanos() > 0) {
            trace.addTimedStep("the prefill result has expired");
            prefilled = null;
        }
        long prompt = prefilled == null ? request.fields().promptTokens() : 0;
        MemoryReservation reserved = memory.reservation();
        Attempt started = new Attempt(backend, prompt, reserved == null ? 0 : reserved.tokens(), false);
        startAttempt(started);
        call = services.connections().send(backend, backendRequest(backend, false), new RunListener(started));
        // From here on the attempt counts the memory itself.
        memory.endReservation(true);
    }

    private void startAttempt(Attempt started) {
        attempt = started;
        triedServers.add(started.backend.id());
        started.backend.onStart(
                started.promptTokens, started.memoryTokens, services.nanoTime().getAsLong());
        trace.onSend(started.backend.id(), started.isPrefill);
    }

    private void endAttempt(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
            call = null;
        }
        ended.backend.onEnd(ended.isPrefillDone ? 0 : ended.promptTokens, ended.memoryTokens);
        if (ended.isPrefill) {
            ended.backend.promptQueue().onEnd(ended, false, services.nanoTime().getAsLong());
        }
        if (ended.memoryTokens > 0) {
            ended.backend.onMemoryReleased();
        }
    }

    private FullHttpRequest backendRequest(Backend backend, boolean isPrefill) {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = copy.headers();
        headers.set(request.headers());
        Admission.AdmittedRequest accepted = admitted();
        PrefilledPrompt source = prefilled;
        MemoryReservation reserved = memory.reservation();
        services.dialect()
                .setBackendHeaders(
                        headers,
                        new BackendFields(
                                backend.id(),
                                Math.max(1, remainingMs()),
                                accepted.access() == null
                                        ? null
                                        : accepted.access().getTeam(),
                                accepted.priority(),
                                isPrefill,
                                isPrefill || source == null ? null : source.transferSource(),
                                isPrefill || reserved == null ? null : reserved.id(),
                                relay.lastEventId()));
        if (request.body().length > 0 || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return copy;
    }

    private void onNotRun(int status) {
        trace.addTimedStep("not run, status " + status);
        if (prefilled != null && status != ResponseChecks.MISDIRECTED) {
            // The prefill result may have been fetched or have expired; the next backend server runs the prefill
            // itself.
            releasePrefill();
            prefilled = null;
        }
        proceed();
    }

    private void onInterrupted(Attempt ended, BackendListener.Failure failure, String reason) {
        trace.addTimedStep(failure + ": " + reason);
        ended.backend.onFailure(services.nanoTime().getAsLong());
        if (failure == BackendListener.Failure.NOT_SENT) {
            proceed();
            return;
        }
        mayHaveRun = true;
        possibleRuns++;
        prefilled = null;
        if (mayRetry()) {
            services.metrics().onRetry("broken");
            relay.onInterrupted();
            proceed();
        } else {
            fail(ErrorCode.BACKEND_FAILED, "The backend server did not complete its response");
        }
    }

    /** Returns whether a request that may have run may be sent to another backend server. */
    private boolean mayRetry() {
        Admission.AdmittedRequest accepted = admitted();
        if (possibleRuns >= accepted.route().getMaxServers() || remainingMs() <= 0) {
            return false;
        }
        if (accepted.route().getStreaming()) {
            return accepted.route().getResumable() && relay.canResume();
        }
        return accepted.route().getRepeat() == RepeatRule.REPEATABLE && !relay.hasStarted();
    }

    private void releasePrefill() {
        PrefilledPrompt source = prefilled;
        if (source != null) {
            services.connections()
                    .send(
                            source.backend,
                            services.dialect().releasePrefill(source.backend.id(), source.result.handle()),
                            new ShortResponse((status, body) -> trace.addStep("prefill freed")),
                            ShortResponse.TIMEOUT_MS);
        }
    }

    private void onTimeout() {
        fail(ErrorCode.DEADLINE_EXCEEDED, "The request was not completed before its deadline");
    }

    /** Ends the request with an error, which states "not run" only if no backend server can have run the request. */
    private void fail(ErrorCode code, String message) {
        if (isEnded) {
            return;
        }
        if (relay.hasStarted()) {
            trace.addTimedStep("cut off: " + message);
            end("aborted");
            sink.abort();
        } else if (isRunPossible()) {
            ErrorCode reported = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.BACKEND_FAILED;
            refuse(Refusal.mayHaveRun(reported, message));
        } else {
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, message, OVERLOAD_RETRY_MS));
        }
    }

    /** Returns whether a backend server may have run the request or may be running it. */
    private boolean isRunPossible() {
        return mayHaveRun || (attempt != null && !attempt.isPrefill);
    }

    private void refuse(Refusal refusal) {
        if (isEnded) {
            return;
        }
        trace.addTimedStep(refusal.code().wireName() + ": " + refusal.message());
        end(refusal.code().wireName());
        sink.refuse(refusal);
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
        if (pendingBudgetReservation != null) {
            pendingBudgetReservation.cancel(false);
        }
        boolean wasSent = isRunPossible();
        Attempt open = attempt;
        if (open != null) {
            if (call != null) {
                call.cancel();
            }
            endAttempt(open);
        }
        if (prefilled != null && !wasSent) {
            releasePrefill();
        }
        memory.cancel();
        services.memoryQueue().onMemoryReleased(admitted == null ? "" : admitted.service());
        relay.release();
        settle(wasSent);
        long totalNanos = services.nanoTime().getAsLong() - request.arrivalNanos();
        services.metrics().onOutcome(teamName(), outcome, totalNanos);
        trace.write(outcome, totalNanos);
        onEnded.run();
    }

    private void settle(boolean wasSent) {
        if (budgetReservation != null) {
            budgetReservation.settle(wasSent ? admitted().cost(request) : 0);
            budgetReservation = null;
        }
    }

    private String teamName() {
        return admitted == null || admitted.access() == null
                ? "none"
                : admitted.access().getTeam();
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

    /** A prompt that a prefill server has processed, with the source and expiry time of its KV cache. */
    private record PrefilledPrompt(Backend backend, PrefillResult result, String transferSource, long expiryNanos) {}

    /** Handles the response to a prefill. */
    private final class PrefillListener implements BackendListener {

        private final Attempt started;
        private final BodyCollector body = new BodyCollector();
        private int status;
        private @Nullable ResponseFields fields;

        PrefillListener(Attempt started) {
            this.started = started;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = ResponseChecks.readHead(services, head, started.backend, call);
        }

        @Override
        public void onData(ByteBuf data) {
            body.add(data);
        }

        @Override
        public void onEnd() {
            started.backend
                    .promptQueue()
                    .onEnd(
                            started,
                            status == ResponseChecks.OK,
                            services.nanoTime().getAsLong());
            endAttempt(started);
            if (status == ResponseChecks.OK) {
                started.backend.onSuccess();
                accept();
            } else {
                trace.addTimedStep("prefill status " + status);
                if (fields != null) {
                    ResponseChecks.onRefused(services, started.backend, fields);
                }
            }
            proceed();
        }

        private void accept() {
            try {
                PrefillResult result = services.dialect().readPrefillResponse(body.bytes());
                prefilled = new PrefilledPrompt(
                        started.backend,
                        result,
                        services.dialect()
                                .transferSource(started.backend.entry().addressText(), result.handle()),
                        services.nanoTime().getAsLong()
                                + TimeUnit.MILLISECONDS.toNanos(admitted().prefillExpiryMs()));
            } catch (IllegalArgumentException e) {
                trace.addTimedStep("the prefill's answer cannot be read: " + e.getMessage());
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            endAttempt(started);
            if (failure == Failure.NOT_SENT) {
                prefillAttempts--;
            }
            // A prefill of a long prompt on a decode server would delay all its runs for a response that is already
            // late.
            isPrefillTooLate = !BackendSelector.isShortPrompt(started.promptTokens)
                    && elapsedNanos() > admitted().route().getTargetMs() * MS_TO_NANOS;
            trace.addTimedStep("prefill " + failure + ": " + reason);
            started.backend.onFailure(services.nanoTime().getAsLong());
            proceed();
        }
    }

    /** Handles the response of a run. */
    private final class RunListener implements BackendListener {

        private final Attempt started;
        private boolean isDiscarded;
        private boolean isNotRun;
        private @Nullable ResponseFields fields;
        private int status;

        RunListener(Attempt started) {
            this.started = started;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = ResponseChecks.readHead(services, head, started.backend, call);
            isNotRun = fields.isNotRun();
            if (isNotRun) {
                isDiscarded = true;
                return;
            }
            String rejectionReason = ResponseChecks.rejectionReason(request, status, fields);
            if (rejectionReason != null) {
                BackendCall open = call;
                endAttempt(started);
                if (open != null) {
                    open.cancel();
                }
                onInterrupted(started, Failure.BROKEN_ANSWER, rejectionReason);
                return;
            }
            if (status >= ResponseChecks.SERVER_ERROR) {
                possibleRuns++;
                mayHaveRun = true;
                if (mayRetry()) {
                    isDiscarded = true;
                    return;
                }
                possibleRuns--;
            }
            if (!relay.hasStarted()) {
                HttpHeaders headers = head.headers().copy();
                services.dialect().removeInternalHeaders(headers);
                relay = ResponseRelay.of(admitted().route(), status, headers, sink, this::onFirstByte);
            }
        }

        private void onFirstByte() {
            started.isPrefillDone = true;
            started.backend.onPrefillDone(started.promptTokens);
            services.metrics().onFirstByte(teamName(), services.nanoTime().getAsLong() - request.arrivalNanos());
        }

        @Override
        public void onData(ByteBuf data) {
            if (isDiscarded || isEnded) {
                data.release();
            } else {
                relay.data(data);
                if (relay.hasStarted()) {
                    trace.onOutput();
                }
            }
        }

        @Override
        public void onEnd() {
            endAttempt(started);
            if (isNotRun && fields != null) {
                ResponseChecks.onRefused(services, started.backend, fields);
                onNotRun(status);
            } else if (isDiscarded) {
                trace.addTimedStep("status " + status + ", repeated");
                services.metrics().onRetry("status");
                proceed();
            } else if (!relay.isComplete()) {
                onInterrupted(started, Failure.BROKEN_ANSWER, "the stream ended within an event");
            } else {
                started.backend.onSuccess();
                mayHaveRun = true;
                trace.addTimedStep("status " + status);
                relay.end();
                end("status_" + status);
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            endAttempt(started);
            onInterrupted(started, failure, reason);
        }
    }
}
