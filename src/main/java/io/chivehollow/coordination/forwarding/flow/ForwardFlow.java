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
import io.chivehollow.coordination.forwarding.adapter.AnswerFields;
import io.chivehollow.coordination.forwarding.adapter.BackendFields;
import io.chivehollow.coordination.forwarding.adapter.PrefillResult;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendCall;
import io.chivehollow.coordination.forwarding.backend.BackendChoice;
import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.chivehollow.coordination.forwarding.backend.BodyCollector;
import io.chivehollow.coordination.forwarding.backend.ShortAnswer;
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
 * The way of one request from its admission to the end of its answer.
 *
 * <p>Invariants: a request that may run once is sent again only after a backend server has stated that it did not run
 * it, or if no byte of it was sent; a status that promises "not run" is sent only if that holds for every backend
 * server to which the request was sent; the answer comes from one run, or from runs of which each goes on after the
 * last event of the one before. Used on the event loop of the forwarding role only.
 */
public final class ForwardFlow {

    /** Sends of one request in all, refused ones included; more only add load to what is full. */
    private static final int MAX_SENDS = 3;

    /** A request waits for its team's budget at most this share of its target; later refusals cost the caller. */
    private static final int BUDGET_WAIT_SHARE = 8;

    /** A loan takes a round trip and sometimes a commit; a report that is under way delays it by one more. */
    private static final long MIN_BUDGET_WAIT_MS = 80;

    /** Full backend servers have room again after about one request's time. */
    private static final long FULL_RETRY_MS = 300;

    /** Pause before a request is offered again after all backend servers were full or none was there. */
    private static final long PAUSE_MS = 40;

    /** Share of its target for which a request waits for a free backend server. */
    private static final int WAIT_SHARE = 4;

    /**
     * Shortest time after which a caller comes back to models without memory.
     *
     * <p>Bursts of the deployments last four to five seconds; of the callers that came back within them most were
     * refused again.
     */
    private static final long MIN_FULL_RETRY_MS = 3_000;

    /** Callers wait at most a third of their 14 s. */
    private static final long FULL_RETRY_SPREAD_MS = 1_500;

    /** Shorter than a reservation, which lasts 2 s; a prompt that is given up sooner has mostly been read in vain. */
    private static final int PREFILL_TIMEOUT_MS = 1_800;

    /** Prefill servers that are asked to read one prompt; the second one counts as a repetition. */
    private static final int MAX_PREFILLS = 2;

    private static final long MS_TO_NANOS = 1_000_000;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final CallerSink sink;
    private final Runnable onOver;
    private final RequestTrace trace;
    private final MemoryStage memory;
    private final Set<String> tried = new HashSet<>();
    private Admission.@Nullable Admitted admitted;
    private @Nullable Reservation reservation;
    private @Nullable CompletableFuture<Reservation> reserving;
    private @Nullable ScheduledFuture<?> timeout;
    private @Nullable BackendCall call;
    private @Nullable Attempt attempt;
    private @Nullable Prefilled prefilled;
    private AnswerRelay relay = AnswerRelay.none();
    private long endNanos;
    private int sends;
    private int runs;
    private int prefills;
    private boolean isPromptUnread;
    private boolean mayHaveRun;
    private boolean isOver;

    private ForwardFlow(ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onOver) {
        this.services = services;
        this.request = request;
        this.sink = sink;
        this.onOver = onOver;
        this.trace = new RequestTrace(request, services.nanoTime());
        this.memory = new MemoryStage(services, request, trace);
    }

    /** Starts the way of a request; the runnable is run when it has ended. */
    public static ForwardFlow start(
            ForwardServices services, ForwardRequest request, CallerSink sink, Runnable onOver) {
        ForwardFlow flow = new ForwardFlow(services, request, sink, onOver);
        flow.admit();
        return flow;
    }

    // Admission.

    private void admit() {
        Optional<Admission.Admitted> result = services.admission().admit(request, this::refuse);
        if (result.isEmpty()) {
            return;
        }
        Admission.Admitted now = result.get();
        admitted = now;
        trace.onAdmitted(now);
        if (request.fields().requestId() == null) {
            refuse(Refusal.of(ErrorCode.INVALID_REQUEST, "The request has no id"));
            return;
        }
        long limitMs = Math.min(
                now.route().getTimeoutMs(), request.fields().deadlineMs().orElse(Long.MAX_VALUE));
        endNanos = request.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        long leftMs = leftMs();
        if (leftMs <= 0) {
            refuse(Refusal.later(ErrorCode.OVERLOADED, "The deadline has passed", FULL_RETRY_MS));
            return;
        }
        timeout = services.loop().schedule(this::onTimeout, leftMs, TimeUnit.MILLISECONDS);
        services.repeats().onRequest(now.service());
        Optional<TeamId> team = now.limitedTeam();
        if (team.isEmpty()) {
            next();
        } else {
            reserve(now, team.get());
        }
    }

    private void reserve(Admission.Admitted now, TeamId team) {
        long cost = now.cost(request);
        long waitMs = Math.max(MIN_BUDGET_WAIT_MS, now.route().getTargetMs() / BUDGET_WAIT_SHARE);
        CompletableFuture<Reservation> asked = services.budget().reserve(team, cost, waitMs);
        reserving = asked;
        asked.whenComplete((taken, failure) -> {
            if (services.loop().inEventLoop()) {
                onReserved(team, cost, taken, failure);
            } else {
                services.loop().execute(() -> onReserved(team, cost, taken, failure));
            }
        });
    }

    private void onReserved(TeamId team, long cost, @Nullable Reservation taken, @Nullable Throwable failure) {
        reserving = null;
        if (isOver) {
            if (taken != null) {
                taken.settle(0);
            }
        } else if (taken == null) {
            long costMs = services.budget().waitMs(team, cost).orElse(FULL_RETRY_MS);
            long retryMs = services.returns().retryMs(team, admitted().service(), costMs);
            trace.note("budget: " + failure);
            refuse(Refusal.later(ErrorCode.RATE_LIMITED, "The team is over its rate", retryMs));
        } else {
            reservation = taken;
            next();
        }
    }

    // Sending.

    private void next() {
        if (isOver) {
            return;
        }
        Admission.Admitted now = admitted();
        if (now.route().getGeneration() && memory.reserved() == null) {
            reserveMemory(now);
            return;
        }
        MemoryReservation reserved = memory.reserved();
        Optional<Backend> prefillServer =
                reserved == null || !needsPrefill() ? Optional.empty() : prefillServer(now, reserved);
        boolean isFirst = prefills == 0;
        if (prefillServer.isPresent() && (isFirst || services.repeats().take(now.service()))) {
            sendPrefill(prefillServer.get());
            return;
        }
        if (reserved != null && isPromptUnread && prefilled == null) {
            refuseFull("The prompt was not read in time");
            return;
        }
        if (reserved != null) {
            sendRun(reserved.backend());
            return;
        }
        Optional<Backend> server = services.choice()
                .server(now.service(), tried, this::isOut, services.nanoTime().getAsLong());
        if (server.isPresent() && sends < MAX_SENDS) {
            sendRun(server.get());
        } else {
            waitOrRefuse(server.isPresent() ? "Backend servers are full" : "No backend server is available");
        }
    }

    /** Returns whether the prompt is to be read by a prefill server. */
    private boolean needsPrefill() {
        boolean isNew =
                request.fields().lastEventId().isEmpty() && relay.lastEventId().isEmpty();
        return isNew && !isPromptUnread && prefilled == null && prefills < MAX_PREFILLS;
    }

    private Optional<Backend> prefillServer(Admission.Admitted now, MemoryReservation reserved) {
        return services.choice()
                .prefill(
                        now.service(),
                        request.fields().promptTokens(),
                        tried,
                        reserved.backend(),
                        this::isOut,
                        services.nanoTime().getAsLong());
    }

    private void reserveMemory(Admission.Admitted now) {
        if (sends >= MAX_SENDS) {
            fail(ErrorCode.OVERLOADED, "Backend servers are full");
        } else if (sends == 0
                && services.choice()
                        .isPrefillBusy(
                                now.service(),
                                request.fields().promptTokens(),
                                this::isOut,
                                services.nanoTime().getAsLong())) {
            waitForPrefill(now);
        } else {
            memory.request(now, sends > 0, this::isOut, this::next, this::refuseFull);
        }
    }

    /** Holds no memory while the prompt would wait so long that its first output is late. */
    private void waitForPrefill(Admission.Admitted now) {
        if (memory.mayWait(now)) {
            services.loop().schedule(this::next, PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            refuseFull("All prefill servers are busy");
        }
    }

    /** Spreads the returns of refused callers over the time after which a burst is over. */
    private void refuseFull(String message) {
        if (mayHaveRun || relay.hasStarted()) {
            fail(ErrorCode.OVERLOADED, message);
            return;
        }
        long retryMs = MIN_FULL_RETRY_MS + ThreadLocalRandom.current().nextLong(FULL_RETRY_SPREAD_MS);
        refuse(Refusal.later(ErrorCode.OVERLOADED, message, retryMs));
    }

    private void waitOrRefuse(String reason) {
        boolean mayWait = waitedNanos() < admitted().route().getTargetMs() * MS_TO_NANOS / WAIT_SHARE;
        if (mayWait && sends < MAX_SENDS) {
            tried.clear();
            services.loop().schedule(this::next, PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            fail(ErrorCode.OVERLOADED, reason);
        }
    }

    private boolean isOut(FailureDomain domain) {
        return services.admission().isOut(domain);
    }

    private void sendPrefill(Backend backend) {
        prefills++;
        long prompt = request.fields().promptTokens();
        Attempt started = new Attempt(backend, prompt, 0, true);
        begin(started);
        backend.prompts().onStart(started, prompt, services.nanoTime().getAsLong());
        call = services.connections()
                .send(backend, backendRequest(backend, true), new PrefillListener(started), PREFILL_TIMEOUT_MS);
    }

    private void sendRun(Backend backend) {
        Admission.Admitted now = admitted();
        if (sends > 0 && !services.repeats().take(now.service())) {
            fail(ErrorCode.OVERLOADED, "The budget of repetitions is used up");
            return;
        }
        sends++;
        if (prefilled != null && services.nanoTime().getAsLong() - prefilled.untilNanos() > 0) {
            trace.onOutcome("the prefill result has expired");
            prefilled = null;
        }
        long prompt = prefilled == null ? request.fields().promptTokens() : 0;
        MemoryReservation reserved = memory.reserved();
        Attempt started = new Attempt(backend, prompt, reserved == null ? 0 : reserved.tokens(), false);
        begin(started);
        call = services.connections().send(backend, backendRequest(backend, false), new RunListener(started));
        // The run counts its memory itself from here.
        memory.end(true);
    }

    private void begin(Attempt started) {
        attempt = started;
        tried.add(started.backend.id());
        started.backend.onStart(
                started.promptTokens, started.memoryTokens, services.nanoTime().getAsLong());
        trace.onSend(started.backend.id(), started.isPrefill);
    }

    private void endAttempt(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
            call = null;
        }
        ended.backend.onEnd(ended.isPromptRead ? 0 : ended.promptTokens, ended.memoryTokens);
        if (ended.isPrefill) {
            ended.backend.prompts().onEnd(ended, false, services.nanoTime().getAsLong());
        }
        if (ended.memoryTokens > 0) {
            ended.backend.onMemoryFreed();
        }
    }

    private FullHttpRequest backendRequest(Backend backend, boolean isPrefill) {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = copy.headers();
        headers.set(request.headers());
        Admission.Admitted now = admitted();
        Prefilled source = prefilled;
        MemoryReservation reserved = memory.reserved();
        services.dialect()
                .toBackend(
                        headers,
                        new BackendFields(
                                backend.id(),
                                Math.max(1, leftMs()),
                                now.access() == null ? null : now.access().getTeam(),
                                now.priority(),
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

    // Outcomes of a run.

    private void onNotRun(int status) {
        trace.onOutcome("not run, status " + status);
        if (prefilled != null && status != AnswerChecks.MISDIRECTED) {
            // The result may have been fetched or be gone; the next backend server reads the prompt itself.
            freePrefill();
            prefilled = null;
        }
        next();
    }

    private void onBroken(Attempt ended, BackendListener.Failure failure, String reason) {
        trace.onOutcome(failure + ": " + reason);
        ended.backend.onFailure(services.nanoTime().getAsLong());
        if (failure == BackendListener.Failure.NOT_SENT) {
            next();
            return;
        }
        mayHaveRun = true;
        runs++;
        prefilled = null;
        if (mayRepeat()) {
            services.metrics().onRepeat("broken");
            relay.onBroken();
            next();
        } else {
            fail(ErrorCode.BACKEND_FAILED, "The backend server did not complete its answer");
        }
    }

    /** Returns whether a request that may have run may be sent to another backend server. */
    private boolean mayRepeat() {
        Admission.Admitted now = admitted();
        if (runs >= now.route().getMaxServers() || leftMs() <= 0) {
            return false;
        }
        if (now.route().getStreaming()) {
            return now.route().getResumable() && relay.canGoOn();
        }
        return now.route().getRepeat() == RepeatRule.REPEATABLE && !relay.hasStarted();
    }

    private void freePrefill() {
        Prefilled source = prefilled;
        if (source != null) {
            services.connections()
                    .send(
                            source.backend,
                            services.dialect().freePrefill(source.backend.id(), source.result.handle()),
                            new ShortAnswer((status, body) -> trace.note("prefill freed")),
                            ShortAnswer.TIMEOUT_MS);
        }
    }

    // Ends.

    private void onTimeout() {
        fail(ErrorCode.DEADLINE_EXCEEDED, "The request was not answered in time");
    }

    /** Ends the request with an error, "not run" only if that is certain. */
    private void fail(ErrorCode code, String message) {
        if (isOver) {
            return;
        }
        if (relay.hasStarted()) {
            trace.onOutcome("cut off: " + message);
            end("aborted");
            sink.abort();
        } else if (isRunPossible()) {
            ErrorCode known = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.BACKEND_FAILED;
            refuse(Refusal.mayHaveRun(known, message));
        } else {
            refuse(Refusal.later(ErrorCode.OVERLOADED, message, FULL_RETRY_MS));
        }
    }

    /** Returns whether a backend server may have run the request, or may run it now. */
    private boolean isRunPossible() {
        return mayHaveRun || (attempt != null && !attempt.isPrefill);
    }

    private void refuse(Refusal refusal) {
        if (isOver) {
            return;
        }
        trace.onOutcome(refusal.code().wireName() + ": " + refusal.message());
        end(refusal.code().wireName());
        sink.refuse(refusal);
    }

    /** Gives the request up because its caller has left. */
    public void cancel() {
        if (!isOver) {
            trace.onOutcome("the caller has left");
            end("cancelled");
        }
    }

    private void end(String outcome) {
        isOver = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (reserving != null) {
            reserving.cancel(false);
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
            freePrefill();
        }
        memory.cancel();
        services.memory().onFreed(admitted == null ? "" : admitted.service());
        relay.release();
        settle(wasSent);
        long totalNanos = services.nanoTime().getAsLong() - request.arrivalNanos();
        services.metrics().onOutcome(teamName(), outcome, totalNanos);
        trace.write(outcome, totalNanos);
        onOver.run();
    }

    private void settle(boolean wasSent) {
        if (reservation != null) {
            reservation.settle(wasSent ? admitted().cost(request) : 0);
            reservation = null;
        }
    }

    private String teamName() {
        return admitted == null || admitted.access() == null
                ? "none"
                : admitted.access().getTeam();
    }

    private long waitedNanos() {
        return services.nanoTime().getAsLong() - request.arrivalNanos();
    }

    private long leftMs() {
        return (endNanos - services.nanoTime().getAsLong()) / MS_TO_NANOS;
    }

    private Admission.Admitted admitted() {
        if (admitted == null) {
            throw new IllegalStateException("The request has not been admitted");
        }
        return admitted;
    }

    /** A prompt that was read at a backend server. */
    private record Prefilled(Backend backend, PrefillResult result, String transferSource, long untilNanos) {}

    /** Takes the answer to a prefill. */
    private final class PrefillListener implements BackendListener {

        private final Attempt mine;
        private final BodyCollector body = new BodyCollector();
        private int status;
        private @Nullable AnswerFields fields;

        PrefillListener(Attempt mine) {
            this.mine = mine;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = AnswerChecks.read(services, head, mine.backend, call);
        }

        @Override
        public void onData(ByteBuf data) {
            body.add(data);
        }

        @Override
        public void onEnd() {
            mine.backend
                    .prompts()
                    .onEnd(mine, status == AnswerChecks.OK, services.nanoTime().getAsLong());
            endAttempt(mine);
            if (status == AnswerChecks.OK) {
                mine.backend.onSuccess();
                accept();
            } else {
                trace.onOutcome("prefill status " + status);
                if (fields != null) {
                    AnswerChecks.onRefused(services, mine.backend, fields);
                }
            }
            next();
        }

        private void accept() {
            try {
                PrefillResult result = services.dialect().readPrefill(body.bytes());
                prefilled = new Prefilled(
                        mine.backend,
                        result,
                        services.dialect().transferSource(mine.backend.entry().addressText(), result.handle()),
                        services.nanoTime().getAsLong()
                                + TimeUnit.MILLISECONDS.toNanos(admitted().prefillExpiryMs()));
            } catch (IllegalArgumentException e) {
                trace.onOutcome("the prefill's answer cannot be read: " + e.getMessage());
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            endAttempt(mine);
            if (failure == Failure.NOT_SENT) {
                prefills--;
            }
            // A decode server that read a long prompt now would delay all its runs for an answer that is late.
            isPromptUnread = !BackendChoice.isShort(mine.promptTokens)
                    && waitedNanos() > admitted().route().getTargetMs() * MS_TO_NANOS;
            trace.onOutcome("prefill " + failure + ": " + reason);
            mine.backend.onFailure(services.nanoTime().getAsLong());
            next();
        }
    }

    /** Takes the answer of a run. */
    private final class RunListener implements BackendListener {

        private final Attempt mine;
        private boolean isDiscarded;
        private boolean isNotRun;
        private @Nullable AnswerFields fields;
        private int status;

        RunListener(Attempt mine) {
            this.mine = mine;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = AnswerChecks.read(services, head, mine.backend, call);
            isNotRun = fields.isNotRun();
            if (isNotRun) {
                isDiscarded = true;
                return;
            }
            String fault = AnswerChecks.fault(request, status, fields);
            if (fault != null) {
                BackendCall open = call;
                endAttempt(mine);
                if (open != null) {
                    open.cancel();
                }
                onBroken(mine, Failure.BROKEN_ANSWER, fault);
                return;
            }
            if (status >= AnswerChecks.SERVER_ERROR) {
                runs++;
                mayHaveRun = true;
                if (mayRepeat()) {
                    isDiscarded = true;
                    return;
                }
                runs--;
            }
            if (!relay.hasStarted()) {
                HttpHeaders headers = head.headers().copy();
                services.dialect().toCaller(headers);
                relay = AnswerRelay.of(admitted().route(), status, headers, sink, this::onFirstByte);
            }
        }

        private void onFirstByte() {
            mine.isPromptRead = true;
            mine.backend.onPromptRead(mine.promptTokens);
            services.metrics().onFirstByte(teamName(), services.nanoTime().getAsLong() - request.arrivalNanos());
        }

        @Override
        public void onData(ByteBuf data) {
            if (isDiscarded || isOver) {
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
            endAttempt(mine);
            if (isNotRun && fields != null) {
                AnswerChecks.onRefused(services, mine.backend, fields);
                onNotRun(status);
            } else if (isDiscarded) {
                trace.onOutcome("status " + status + ", repeated");
                services.metrics().onRepeat("status");
                next();
            } else if (!relay.isWhole()) {
                onBroken(mine, Failure.BROKEN_ANSWER, "the stream ended inside an event");
            } else {
                mine.backend.onSuccess();
                mayHaveRun = true;
                trace.onOutcome("status " + status);
                relay.end();
                end("status_" + status);
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            endAttempt(mine);
            onBroken(mine, failure, reason);
        }
    }
}
