package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.chivehollow.coordination.forwarding.backend.ResponseFraming;
import io.chivehollow.coordination.forwarding.backend.WorkTimer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * The stage in which backend servers run one request and their responses are passed on to the caller.
 *
 * <p>Invariant: the caller receives the response of one run, or of several runs of which each resumes after the last
 * event of the previous one. Used on the event loop of the forwarding role only.
 */
final class RunStage {

    /** Limits the body of a response that is not passed on, in bytes; most have a short error text. */
    private static final int MAX_DISCARDED_BYTES = 65_536;

    /** Time in milliseconds for the body of a response that is not passed on. */
    private static final long DISCARDED_BODY_MS = 250;

    private static final double NANOS_PER_MS = 1e6;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final RequestTrace trace;
    private final OpenAttempt openAttempt;
    private final CallerSink sink;
    private final Listener listener;
    private final RunHistory history = new RunHistory();
    private ResponseRelay relay = ResponseRelay.none();

    RunStage(
            ForwardServices services,
            ForwardRequest request,
            RequestTrace trace,
            OpenAttempt openAttempt,
            CallerSink sink,
            Listener listener) {
        this.services = services;
        this.request = request;
        this.trace = trace;
        this.openAttempt = openAttempt;
        this.sink = sink;
        this.listener = listener;
    }

    RunHistory history() {
        return history;
    }

    ResponseRelay relay() {
        return relay;
    }

    /** Returns whether a backend server may have run the request or may be running it. */
    boolean isRunPossible() {
        return history.mayHaveRun() || openAttempt.isRun();
    }

    void send(
            Admission.AdmittedRequest admitted,
            Backend backend,
            long promptTokens,
            long memoryTokens,
            FullHttpRequest httpRequest) {
        history.onSent();
        Attempt started = new Attempt(backend, promptTokens, memoryTokens, false);
        WorkTimer timer =
                WorkTimer.start(backend, promptTokens == 0, services.nanoTime().getAsLong());
        openAttempt.start(started);
        openAttempt.onSent(
                started,
                services.connections().send(backend, httpRequest, new ResponseListener(started, admitted, timer)));
    }

    void release() {
        relay.release();
    }

    /** Receives the end of each run. */
    interface Listener {

        /** Called if the backend server has stated that it did not run the request. */
        void onNotRun(int status);

        /** Called if the request may be sent again: no byte of it was sent, or its failed response was discarded. */
        void onRetry();

        /** Called if the request may have run and its response cannot be used or is incomplete. */
        void onInterrupted();

        /** Called if the response is complete and was passed on. */
        void onComplete(int status);

        /** Returns whether time is left for a further run. */
        boolean hasTimeLeft();
    }

    private final class ResponseListener implements BackendListener {

        private final Attempt started;
        private final Admission.AdmittedRequest admitted;
        private final WorkTimer timer;
        private final long startNanos = services.nanoTime().getAsLong();
        private boolean isDiscarded;
        private boolean isNotRun;
        private boolean isEndStated;
        private @Nullable ResponseFields fields;
        private @Nullable ScheduledFuture<?> bodyTimer;
        private long discardedBytes;
        private int status;

        ResponseListener(Attempt started, Admission.AdmittedRequest admitted, WorkTimer timer) {
            this.started = started;
            this.admitted = admitted;
            this.timer = timer;
        }

        @Override
        public void onWritten() {
            sink.onHeldChanged();
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = openAttempt.readHead(started, head);
            isEndStated = ResponseFraming.isStated(head);
            trace.onHead(status, isEndStated);
            String rejectionReason = ResponseChecks.rejectionReason(status, fields, relay);
            if (rejectionReason != null) {
                openAttempt.cancel();
                interrupted(Failure.BROKEN_ANSWER, rejectionReason);
                return;
            }
            isNotRun = fields.isNotRun();
            if (isNotRun) {
                discard();
                return;
            }
            boolean mayRepeat = listener.hasTimeLeft() && history.mayRepeatAfterThisRun(admitted.route(), relay);
            if (status >= ResponseChecks.SERVER_ERROR) {
                if (mayRepeat) {
                    history.onPossibleRun();
                    discard();
                    return;
                }
                history.onComplete();
            }
            if (mayRepeat && !admitted.route().getStreaming()) {
                // The body follows its head at once unless the server or the connection is in trouble.
                limitBodyTime(admitted.route().getTargetMs());
            }
            if (!relay.hasStarted()) {
                relay.release();
                HttpHeaders headers = head.headers().copy();
                services.dialect().removeInternalHeaders(headers);
                relay = ResponseRelay.of(admitted.route(), status, headers, sink, this::onFirstByte);
            }
        }

        /** Takes no more from the response than its head; the body is read so that the connection can be reused. */
        private void discard() {
            isDiscarded = true;
            limitBodyTime(DISCARDED_BODY_MS);
        }

        private void limitBodyTime(long timeMs) {
            bodyTimer = services.loop()
                    .schedule(
                            () -> {
                                if (isDiscarded || !relay.hasStarted()) {
                                    String reason = "the body was not complete " + timeMs + " ms after the head";
                                    openAttempt.fail(started, Failure.BROKEN_ANSWER, reason);
                                }
                            },
                            timeMs,
                            TimeUnit.MILLISECONDS);
        }

        private void cancelBodyTimer() {
            if (bodyTimer != null) {
                bodyTimer.cancel(false);
            }
        }

        private void onFirstByte() {
            started.isPrefillDone = true;
            started.backend.onPrefillDone(started.promptTokens);
            if (ResponseChecks.isSuccess(status)) {
                timer.onFirstOutput(services.nanoTime().getAsLong());
            }
            if (status == ResponseChecks.OK) {
                services.crashes().onAnswerBegun(request.fields().promptParts());
            }
            services.metrics()
                    .onFirstByte(admitted.teamName(), services.nanoTime().getAsLong() - request.arrivalNanos());
        }

        @Override
        public boolean onData(ByteBuf data) {
            openAttempt.onData(started, data.readableBytes());
            if (isDiscarded) {
                discardedBytes += data.readableBytes();
                data.release();
                return discardedBytes <= MAX_DISCARDED_BYTES;
            }
            boolean isWithinLimits = relay.data(data);
            if (relay.hasStarted()) {
                trace.onOutput();
            }
            sink.onHeldChanged();
            if (!sink.isWritable()) {
                openAttempt.setReading(false);
                timer.onPaused();
            }
            return isWithinLimits;
        }

        /** Of a response that is not passed on, only the head counts. */
        @Override
        public boolean isHeadEnough() {
            return isDiscarded;
        }

        @Override
        public void onConnectionEnd(String evidence) {
            trace.addTimedStep("connection ended, " + evidence);
        }

        @Override
        public void onEnd() {
            cancelBodyTimer();
            openAttempt.end(started);
            if (isDiscarded) {
                onDiscardedEnd();
            } else if (!relay.isComplete(isEndStated)) {
                interrupted(Failure.BROKEN_ANSWER, "the stream ended within an event or before its first one");
            } else {
                started.backend.onSuccess();
                started.backend.estimates().onRun(started.memoryTokens, openMs());
                timer.onEnd(relay.eventsOfRun(), services.nanoTime().getAsLong());
                history.onComplete();
                OptionalLong lastEventId = relay.lastEventId();
                trace.addTimedStep(
                        "status " + status + (lastEventId.isEmpty() ? "" : ", last event " + lastEventId.getAsLong()));
                relay.end();
                listener.onComplete(status);
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            cancelBodyTimer();
            openAttempt.end(started);
            if (isDiscarded) {
                // The head was complete, and what it states holds without its body.
                trace.addTimedStep(failure + ": " + reason);
                started.backend.onFailure(services.nanoTime().getAsLong());
                onDiscardedEnd();
            } else {
                interrupted(failure, reason);
            }
        }

        private double openMs() {
            return (services.nanoTime().getAsLong() - startNanos) / NANOS_PER_MS;
        }

        private void onDiscardedEnd() {
            if (isNotRun && fields != null) {
                ResponseChecks.onRefused(services, started.backend, fields);
                trace.addTimedStep("not run, status " + status);
                listener.onNotRun(status);
            } else {
                trace.addTimedStep("status " + status + ", repeated");
                services.metrics().onRetry("status");
                listener.onRetry();
            }
        }

        private void interrupted(Failure failure, String reason) {
            trace.addTimedStep(failure + ": " + reason);
            started.backend.onFailure(services.nanoTime().getAsLong());
            if (failure == Failure.NOT_SENT) {
                listener.onRetry();
                return;
            }
            history.onPossibleRun();
            if (status == ResponseChecks.OK && !relay.hasStarted()) {
                services.connections().checkReachable(started.backend, this::onInterruptedAtBegin);
            } else {
                listener.onInterrupted();
            }
        }

        /** The server had sent the head of the answer, and no event. */
        private void onInterruptedAtBegin(boolean isReachable) {
            if (!isReachable
                    && services.crashes()
                            .add(started.backend.id(), request.fields().promptParts())) {
                trace.addTimedStep("backend server " + started.backend.id() + " crashed when it began the answer");
                services.metrics().onServerCrash();
                history.onServerCrash();
            }
            listener.onInterrupted();
        }
    }
}
