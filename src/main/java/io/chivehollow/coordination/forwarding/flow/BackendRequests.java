package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.chivehollow.coordination.forwarding.adapter.BackendFields;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.reserve.MemoryReservation;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Creates the requests to backend servers from the request of a caller.
 *
 * <p>Invariant: method, path and body are the caller's. Used on the event loop of the forwarding role only.
 */
final class BackendRequests {

    private final ForwardServices services;
    private final ForwardRequest request;
    private final Admission.AdmittedRequest admitted;

    BackendRequests(ForwardServices services, ForwardRequest request, Admission.AdmittedRequest admitted) {
        this.services = services;
        this.request = request;
        this.admitted = admitted;
    }

    /** Returns the request that makes a prefill server process the prompt. */
    FullHttpRequest prefill(Backend backend, long remainingMs) {
        return create(backend, remainingMs, true, null, null, OptionalLong.empty());
    }

    /** Returns the request that makes a backend server run the request, from the event after the last one if given. */
    FullHttpRequest run(
            Backend backend,
            long remainingMs,
            @Nullable String transferSource,
            @Nullable MemoryReservation reservation,
            OptionalLong lastEventId) {
        return create(
                backend,
                remainingMs,
                false,
                transferSource,
                reservation == null ? null : reservation.id(),
                lastEventId);
    }

    private FullHttpRequest create(
            Backend backend,
            long remainingMs,
            boolean isPrefill,
            @Nullable String transferSource,
            @Nullable String reservation,
            OptionalLong lastEventId) {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = copy.headers();
        headers.set(request.headers());
        services.dialect()
                .setBackendHeaders(
                        headers,
                        new BackendFields(
                                backend.id(),
                                Math.max(1, remainingMs),
                                admitted.access() == null
                                        ? null
                                        : admitted.access().getTeam(),
                                admitted.priority(),
                                isPrefill,
                                transferSource,
                                reservation,
                                lastEventId));
        if (request.body().length > 0 || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return copy;
    }
}
