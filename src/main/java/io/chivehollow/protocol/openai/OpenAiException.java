package io.chivehollow.protocol.openai;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;

/**
 * An error of a request that violates the protocol; no part of the request has been run.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class OpenAiException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private OpenAiException(ErrorCode code, String message) {
        super(code, message, true, null);
    }

    static OpenAiException malformed(String message) {
        return new OpenAiException(ErrorCode.INVALID_REQUEST, message);
    }

    /** Returns an error of the field at the path; the fault says what is expected of the value. */
    static OpenAiException field(String path, String fault) {
        return new OpenAiException(ErrorCode.INVALID_REQUEST, path + ": " + fault);
    }
}
