package io.chivehollow.base;

import java.util.Locale;

/**
 * Codes of the errors that are reported to callers, operators and other processes.
 *
 * <p>The constant's name in lower case is part of the public interface. Immutable and thread-safe.
 */
public enum ErrorCode {
    INVALID_REQUEST(400),
    CONTEXT_LENGTH_EXCEEDED(400),
    IDEMPOTENCY_KEY_INVALID(400),
    MISSING_KEY(401),
    INVALID_KEY(401),
    KEY_WITHDRAWN(401),
    FORBIDDEN(403),
    MODEL_NOT_FOUND(404),
    ROUTE_NOT_FOUND(404),
    MEMBER_NOT_FOUND(404),
    BACKEND_SERVER_NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    REQUEST_TIMEOUT(408),

    /** The caller reads the streamed response too slowly, so that too much output is buffered. */
    CALLER_TOO_SLOW(408),

    /** The call with the same idempotency key is still open. */
    CALL_IN_PROGRESS(409),

    /** The call was sent, but it is unknown whether it has run. */
    OUTCOME_UNKNOWN(409),

    /** Another release note was accepted with this release number. */
    NUMBER_TAKEN(409),

    /** The state has changed since the version on which the command is based. */
    STATE_CHANGED(409),

    /** Another change of the members of the replica group has not finished. */
    CHANGE_IN_PROGRESS(409),

    /** After the removal of the member, fewer voters would respond than the quorum needs. */
    QUORUM_AT_RISK(409),

    BODY_TOO_LARGE(413),
    IDEMPOTENCY_KEY_REUSED(422),
    RELEASE_INVALID(422),
    RATE_LIMITED(429),
    HEADER_TOO_LARGE(431),
    INTERNAL(500),
    STORAGE_FAILED(500),
    TRANSFER_CODING_UNKNOWN(501),
    BACKEND_FAILED(502),
    CONNECTION_LOST(502),
    OVERLOADED(503),
    DRAINING(503),

    /** The failure domain of the backend server is out of service. */
    DOMAIN_OUT(503),

    /** The backend server is cold, for instance after a start, and accepts fewer requests for now. */
    COLD(503),

    /** Backend servers have crashed when they began the answers to prompts with the same parts. */
    PROMPT_BLOCKED(503),

    /** The instance has no configuration, or cannot prove that its configuration is current. */
    CONFIGURATION_STALE(503),

    NO_BACKEND_SERVER(503),
    NOT_LEADER(503),
    NO_QUORUM(503),
    DISK_FULL(503),
    SHUTTING_DOWN(503),

    /** The sender's session is closed, or a command was refused, for instance for an outdated fencing number. */
    FENCED(409),

    /** The reservation was not used in time. */
    RESERVATION_EXPIRED(410),

    CANCELLED(499),
    DEADLINE_EXCEEDED(504);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status of the response that reports this error to a caller. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the name of this code in responses to callers and in messages between processes, in lower case. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the code with the given wire name, or {@link #INTERNAL} if no code has that name. */
    public static ErrorCode fromWireName(String wireName) {
        for (ErrorCode code : values()) {
            if (code.wireName().equals(wireName)) {
                return code;
            }
        }
        return INTERNAL;
    }
}
