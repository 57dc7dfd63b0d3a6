package io.chivehollow.coordination.forwarding.flow;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.PrefillResult;
import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.chivehollow.coordination.forwarding.backend.BodyCollector;
import io.chivehollow.coordination.forwarding.backend.ShortResponse;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The stage in which a prefill server processes the prompt of one request.
 *
 * <p>Invariant: a result that no run uses is released at its prefill server. Used on the event loop of the forwarding
 * role only.
 */
final class PrefillStage {

    /**
     * Time after which a prefill is abandoned, as a share of the time of the memory reservation; sooner, its work would
     * mostly be wasted.
     */
    private static final double TIMEOUT_RESERVATION_SHARE = 0.9;

    /** Maximum number of prefill servers to which one prompt is sent; the second one counts as a retry. */
    private static final int MAX_ATTEMPTS = 2;

    private final ForwardServices services;
    private final ForwardRequest request;
    private final RequestTrace trace;
    private final OpenAttempt openAttempt;
    private final Runnable onEnded;
    private @Nullable PrefilledPrompt result;
    private @Nullable FailureDomain decodeDomain;
    private int attempts;
    private boolean isTooLate;

    /** The runnable is run when an attempt has ended, with or without a result. */
    PrefillStage(
            ForwardServices services,
            ForwardRequest request,
            RequestTrace trace,
            OpenAttempt openAttempt,
            Runnable onEnded) {
        this.services = services;
        this.request = request;
        this.trace = trace;
        this.openAttempt = openAttempt;
        this.onEnded = onEnded;
    }

    /** Returns whether a prefill server should process the prompt, which may have been tried before. */
    boolean isPossible() {
        return !isTooLate && result == null && attempts < MAX_ATTEMPTS;
    }

    /** Returns whether the next attempt counts as a retry. */
    boolean isRetry() {
        return attempts > 0;
    }

    /** Returns whether the prompt has no result, and a decode server could not process it in time. */
    boolean isAbandoned() {
        return isTooLate && result == null;
    }

    /** Returns the processed prompt, or null if the decode server has to process it. */
    @Nullable
    PrefilledPrompt result() {
        return result;
    }

    Optional<Backend> selectServer(
            Admission.AdmittedRequest admitted, Backend decodeServer, Predicate<FailureDomain> isOutOfService) {
        decodeDomain = decodeServer.entry().domain();
        return services.selector()
                .selectPrefillServer(
                        admitted.promptDemand(request),
                        openAttempt.triedServers(),
                        decodeServer,
                        isOutOfService,
                        services.nanoTime().getAsLong());
    }

    void send(Admission.AdmittedRequest admitted, Backend backend, FullHttpRequest httpRequest) {
        attempts++;
        long prompt = request.fields().promptTokens();
        Attempt started = new Attempt(backend, prompt, 0, true);
        openAttempt.start(started);
        backend.promptQueue().onStart(started, prompt, services.nanoTime().getAsLong());
        int timeoutMs = (int) (admitted.times().reservationMs() * TIMEOUT_RESERVATION_SHARE);
        openAttempt.onSent(
                started, services.connections().send(backend, httpRequest, new Listener(started, admitted), timeoutMs));
    }

    /** Forgets a result that the prefill server no longer retains. */
    void forgetExpired() {
        if (result != null && services.nanoTime().getAsLong() - result.expiryNanos() > 0) {
            trace.addTimedStep("the prefill result has expired");
            result = null;
        }
    }

    /** Forgets a result that a backend server has used. */
    void forget() {
        result = null;
    }

    /** Releases the result at the prefill server, if there is one, and forgets it. */
    void release() {
        PrefilledPrompt unused = result;
        result = null;
        if (unused != null) {
            release(unused);
        }
    }

    /** A server that wants no requests gets the release later, or not at all if the result expires before. */
    private void release(PrefilledPrompt unused) {
        long now = services.nanoTime().getAsLong();
        long heldMs = unused.backend().heldMs(now);
        if (heldMs == 0) {
            services.connections()
                    .sendOwn(
                            unused.backend(),
                            services.dialect()
                                    .releasePrefill(
                                            unused.backend().id(),
                                            unused.result().handle()),
                            ShortResponse.of(
                                    unused.backend(),
                                    services.dialect(),
                                    services.nanoTime(),
                                    (status, body) -> trace.addStep("prefill freed")),
                            ShortResponse.TIMEOUT_MS);
        } else if (TimeUnit.MILLISECONDS.toNanos(heldMs) < unused.expiryNanos() - now) {
            services.loop().schedule(() -> release(unused), heldMs, TimeUnit.MILLISECONDS);
        }
    }

    /** A prompt that a prefill server has processed, with the source and expiry time of its KV cache. */
    record PrefilledPrompt(Backend backend, PrefillResult result, String transferSource, long expiryNanos) {}

    private final class Listener implements BackendListener {

        private final Attempt started;
        private final Admission.AdmittedRequest admitted;
        private final BodyCollector body = new BodyCollector();
        private int status;
        private @Nullable ResponseFields fields;

        Listener(Attempt started, Admission.AdmittedRequest admitted) {
            this.started = started;
            this.admitted = admitted;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            fields = openAttempt.readHead(started, head);
        }

        @Override
        public boolean onData(ByteBuf data) {
            return body.add(data);
        }

        /** The body is JSON. */
        @Override
        public boolean isEndInContent() {
            return true;
        }

        @Override
        public void onEnd() {
            boolean isDone = status == ResponseChecks.OK;
            started.backend
                    .promptQueue()
                    .onEnd(started, isDone, services.nanoTime().getAsLong());
            openAttempt.end(started);
            if (isDone) {
                started.backend.onSuccess();
                accept();
            } else {
                trace.addTimedStep("prefill status " + status);
                if (fields != null) {
                    ResponseChecks.onRefused(services, started.backend, fields);
                }
            }
            onEnded.run();
        }

        private void accept() {
            try {
                PrefillResult read = services.dialect().readPrefillResponse(body.bytes());
                result = new PrefilledPrompt(
                        started.backend,
                        read,
                        services.dialect()
                                .transferSource(started.backend.entry().addressText(), read.handle()),
                        services.nanoTime().getAsLong()
                                + TimeUnit.MILLISECONDS.toNanos(admitted.times().prefillExpiryMs()));
                countTransfer();
            } catch (IllegalArgumentException e) {
                trace.addTimedStep("the prefill's answer cannot be read: " + e.getMessage());
            }
        }

        /** The decode server fetches the KV cache when the run starts, at once. */
        private void countTransfer() {
            if (decodeDomain != null) {
                services.locality()
                        .onTransfer(
                                admitted.service(),
                                started.backend.entry().domain(),
                                decodeDomain,
                                started.promptTokens,
                                services.nanoTime().getAsLong());
            }
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            openAttempt.end(started);
            if (failure == Failure.NOT_SENT) {
                attempts--;
            }
            // A prefill of a long prompt on a decode server would delay all its runs for a response that is already
            // late.
            long elapsedNanos = services.nanoTime().getAsLong() - request.arrivalNanos();
            isTooLate = !services.selector().isShortPrompt(admitted.promptDemand(request))
                    && elapsedNanos
                            > TimeUnit.MILLISECONDS.toNanos(admitted.route().getTargetMs());
            trace.addTimedStep("prefill " + failure + ": " + reason);
            started.backend.onFailure(services.nanoTime().getAsLong());
            onEnded.run();
        }
    }
}
