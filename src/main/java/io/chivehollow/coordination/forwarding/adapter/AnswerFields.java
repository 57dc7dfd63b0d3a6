package io.chivehollow.coordination.forwarding.adapter;

import org.jspecify.annotations.Nullable;

/**
 * What the header of a backend server's answer says.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isNotRun the backend server states that it has not run the request
 * @param isMisdirected the address belongs to another backend server now
 * @param isSigned the answer bears the backend server's signature
 * @param backendServer id of the backend server that answers, if stated
 * @param requestId id of the request that is answered, if stated
 * @param load the backend server's load, if stated
 * @param idleTimeoutMs time after which an idle connection is closed, -1 if not stated
 */
public record AnswerFields(
        boolean isNotRun,
        boolean isMisdirected,
        boolean isSigned,
        @Nullable String backendServer,
        @Nullable String requestId,
        @Nullable BackendLoad load,
        long idleTimeoutMs) {}
