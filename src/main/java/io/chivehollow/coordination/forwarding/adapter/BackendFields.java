package io.chivehollow.coordination.forwarding.adapter;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * Values that the router sends to a backend server with a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendServer id of the backend server for which the request is meant
 * @param deadlineMs remaining time in milliseconds
 * @param team team of the API key; null on open routes
 * @param priority priority, 0 is the most urgent
 * @param isPrefill whether the backend server runs only the prefill
 * @param transferSource source from which the KV cache of the prompt is fetched; null if it is not fetched
 * @param reservation id of the memory reservation that the request uses; null if there is none
 * @param resumeAfter id of the event after which a stream resumes; empty to keep the value that the caller sent
 */
public record BackendFields(
        String backendServer,
        long deadlineMs,
        @Nullable String team,
        int priority,
        boolean isPrefill,
        @Nullable String transferSource,
        @Nullable String reservation,
        OptionalLong resumeAfter) {}
