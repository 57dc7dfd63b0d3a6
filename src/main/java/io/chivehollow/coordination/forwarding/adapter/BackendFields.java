package io.chivehollow.coordination.forwarding.adapter;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * What the router tells a backend server with a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendServer id of the backend server for which the request is meant
 * @param deadlineMs time that is left
 * @param team team of the API key; null on open routes
 * @param priority urgency, 0 first
 * @param isPrefill whether only the prompt is to be read
 * @param transferSource where the memory of the prompt is to be fetched; null if it is not
 * @param reservation reserved memory that the request uses; null if there is none
 * @param resumeAfter event after which a stream is to go on; empty to leave it as the caller sent it
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
