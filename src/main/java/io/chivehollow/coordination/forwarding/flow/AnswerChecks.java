package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.adapter.AnswerFields;
import io.chivehollow.coordination.forwarding.adapter.BackendLoad;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendCall;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Judges the heads of backend servers' answers.
 *
 * <p>Stateless and thread-safe.
 */
final class AnswerChecks {

    static final int OK = 200;
    static final int SERVER_ERROR = 500;
    static final int MISDIRECTED = 421;
    private static final int REDIRECTION = 300;

    private AnswerChecks() {}

    /** Reads the head and records the load and the idle timeout that it states. */
    static AnswerFields read(ForwardServices services, HttpResponse head, Backend backend, @Nullable BackendCall call) {
        AnswerFields fields = services.dialect().readAnswer(head.status().code(), head.headers());
        BackendLoad load = fields.load();
        if (load != null) {
            backend.onLoad(load, services.nanoTime().getAsLong());
        }
        if (call != null) {
            call.setIdleTimeoutMs(fields.idleTimeoutMs());
        }
        return fields;
    }

    /** Returns why the answer must not be passed on, or null if it may be. */
    static @Nullable String fault(ForwardRequest request, int status, AnswerFields fields) {
        if (fields.requestId() != null
                && !fields.requestId().equals(request.fields().requestId())) {
            return "the answer belongs to request " + fields.requestId();
        }
        boolean isSuccess = status >= OK && status < REDIRECTION;
        return isSuccess && !fields.isSigned() ? "a success without the backend server's signature" : null;
    }

    /** Avoids a backend server that has refused a request. */
    static void onRefused(ForwardServices services, Backend backend, AnswerFields fields) {
        long now = services.nanoTime().getAsLong();
        if (fields.isMisdirected() && !backend.id().equals(fields.backendServer())) {
            backend.onReplaced();
        } else if (fields.isMisdirected()) {
            // Its stage has changed, which the next list says.
            backend.onFailure(now);
        } else if (fields.isNotRun()) {
            backend.onFull(now);
        } else {
            backend.onFailure(now);
        }
    }
}
