package io.chivehollow.coordination.forwarding.flow;

import java.util.HashSet;
import java.util.Set;

import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.BackendCall;
import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The attempt of one request that is in progress, with its call, and the backend servers that were tried.
 *
 * <p>Invariant: at most one attempt is in progress, and what an attempt counts at its backend server is subtracted when
 * it ends. Used on the event loop of the forwarding role only.
 */
final class OpenAttempt {

    private final ForwardServices services;
    private final RequestTrace trace;
    private final Set<String> triedServers = new HashSet<>();
    private @Nullable Attempt attempt;
    private @Nullable BackendCall call;
    private long startNanos;

    OpenAttempt(ForwardServices services, RequestTrace trace) {
        this.services = services;
        this.trace = trace;
    }

    /** Counts the attempt at its backend server. */
    void start(Attempt started) {
        attempt = started;
        call = null;
        startNanos = services.nanoTime().getAsLong();
        triedServers.add(started.backend.id());
        started.backend.onStart(started.promptTokens, started.memoryTokens, startNanos);
        trace.onSend(started.backend.id(), started.isPrefill);
        String reason = services.locality()
                .onSent(
                        started.backend.entry().service(),
                        started.backend.entry().domain(),
                        started.isPrefill,
                        trace.requestBytes(),
                        startNanos);
        if (reason != null) {
            trace.addStep("leaves for " + started.backend.entry().domain() + ", " + reason);
        }
    }

    /** Counts a part of the response. */
    void onData(Attempt answered, int bytes) {
        answered.responseBytes += bytes;
        services.locality()
                .onResponseBytes(
                        answered.backend.entry().domain(),
                        bytes,
                        services.nanoTime().getAsLong());
    }

    /** Records the call of the attempt, which may already have failed and been followed by another attempt. */
    void onSent(Attempt sent, BackendCall sentCall) {
        if (attempt == sent) {
            call = sentCall;
        }
    }

    /** Reads the head of the response; records the reported load and the idle timeout. */
    ResponseFields readHead(Attempt answered, HttpResponse head) {
        return ResponseChecks.readHead(services, head, answered.backend, attempt == answered ? call : null);
    }

    /** Subtracts what the attempt counts. */
    void end(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
            call = null;
        }
        if (!ended.isPrefill) {
            services.locality()
                    .onRequestEnd(ended.backend.entry().service(), trace.requestBytes() + ended.responseBytes);
        }
        ended.backend.onEnd(ended.isPrefillDone ? 0 : ended.promptTokens, ended.memoryTokens);
        if (ended.isPrefill) {
            ended.backend.promptQueue().onEnd(ended, false, services.nanoTime().getAsLong());
        }
        if (ended.memoryTokens > 0) {
            ended.backend.onMemoryReleased();
        }
    }

    /** Fails the call of the attempt if it is still in progress. */
    void fail(Attempt failed, BackendListener.Failure failure, String reason) {
        if (attempt == failed && call != null) {
            call.fail(failure, reason);
        }
    }

    /** Starts or stops to read the response of the attempt in progress. */
    void setReading(boolean isReading) {
        if (call != null) {
            call.setReading(isReading);
        }
    }

    /** Returns the bytes of the request that the backend server of the attempt in progress has not taken yet. */
    long pendingBytes() {
        return call == null ? 0 : call.pendingBytes();
    }

    /** Counts the backend server as failing if the attempt in progress has lasted for longer than the given time. */
    void reportSlow(long maxNanos) {
        long now = services.nanoTime().getAsLong();
        if (attempt != null && now - startNanos > maxNanos) {
            attempt.backend.onFailure(now);
        }
    }

    /** Cancels the call of the attempt in progress and ends the attempt. */
    void cancel() {
        Attempt open = attempt;
        if (open == null) {
            return;
        }
        if (call != null) {
            call.cancel();
        }
        end(open);
    }

    /** Returns whether an attempt to run the request is in progress. */
    boolean isRun() {
        return attempt != null && !attempt.isPrefill;
    }

    /** Returns the ids of the backend servers that were tried since the last {@link #forgetTriedServers}. */
    Set<String> triedServers() {
        return triedServers;
    }

    void forgetTriedServers() {
        triedServers.clear();
    }
}
