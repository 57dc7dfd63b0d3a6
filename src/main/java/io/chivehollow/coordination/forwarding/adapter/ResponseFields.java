package io.chivehollow.coordination.forwarding.adapter;

import org.jspecify.annotations.Nullable;

/**
 * Values parsed from the header of a backend server's response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isNotRun whether the backend server states that it has not run the request
 * @param isMisdirected whether the backend server states that the request was meant for another run or role
 * @param isSigned whether the response has the signature of the backend server
 * @param backendServer id of the responding backend server; null if not stated
 * @param isLeaving whether the responding backend server states that it leaves
 * @param retryAfterMs time in milliseconds for which the responding backend server wants no request, 0 if not stated
 * @param load load of the backend server; null if not stated or not readable
 * @param unreadableLoad what cannot be read of the stated load, or null
 * @param idleTimeoutMs time in milliseconds after which an idle connection is closed, -1 if not stated
 */
public record ResponseFields(
        boolean isNotRun,
        boolean isMisdirected,
        boolean isSigned,
        @Nullable String backendServer,
        boolean isLeaving,
        long retryAfterMs,
        @Nullable BackendLoad load,
        @Nullable UnreadableLoad unreadableLoad,
        long idleTimeoutMs) {}
