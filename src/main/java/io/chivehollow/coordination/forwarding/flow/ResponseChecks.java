package io.chivehollow.coordination.forwarding.flow;

import java.util.Set;

import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendCall;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Checks the heads of responses from backend servers.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseChecks {

    static final int OK = 200;
    static final int SERVER_ERROR = 500;
    static final int MISDIRECTED = 421;
    private static final int REDIRECTION = 300;

    /** Statuses that tell a caller that its request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED, 429, 503);

    private ResponseChecks() {}

    /**
     * Reads the head; records what the server states about itself and the idle timeout. The call may be null if it has
     * ended.
     */
    static ResponseFields readHead(
            ForwardServices services, HttpResponse head, Backend backend, @Nullable BackendCall call) {
        ResponseFields fields =
                backend.readHead(services.dialect(), head, services.nanoTime().getAsLong());
        if (call != null) {
            call.setIdleTimeoutMs(fields.idleTimeoutMs());
        }
        return fields;
    }

    /**
     * Returns why the response must not be passed on to the caller, or null if it may be. The relay holds what earlier
     * runs have sent to the caller; only a stream can continue that.
     */
    static @Nullable String rejectionReason(int status, ResponseFields fields, ResponseRelay relay) {
        if (relay.hasStarted() && status != OK && !fields.isNotRun()) {
            return "status " + status + " in place of the rest of the stream";
        }
        if (NOT_RUN_STATUSES.contains(status) && !fields.isNotRun()) {
            return "status " + status + " without the statement that the request was not run";
        }
        return isSuccess(status) && !fields.isSigned()
                ? "a success response without the signature of the backend server"
                : null;
    }

    static boolean isSuccess(int status) {
        return status >= OK && status < REDIRECTION;
    }

    /** Marks a backend server that has refused a request, so that requests avoid it for a while. */
    static void onRefused(ForwardServices services, Backend backend, ResponseFields fields) {
        long now = services.nanoTime().getAsLong();
        if (fields.isMisdirected() && !backend.id().equals(fields.backendServer())) {
            backend.onReplaced();
        } else if (fields.isMisdirected()) {
            // The pool role of the server has changed; the next read of the server list reports the new one.
            backend.onFailure(now);
        } else if (fields.isNotRun()) {
            backend.onFull(now);
        } else {
            backend.onFailure(now);
        }
    }
}
