package io.chivehollow.coordination.gateway;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;

/**
 * Converts errors of lower layers to errors of this layer.
 *
 * <p>Stateless and thread-safe.
 */
final class Failures {

    private Failures() {}

    /** Returns the error with which a future failed; an unexpected one becomes an internal error. */
    static ChivehollowException unwrap(Throwable failure) {
        Throwable cause = failure;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof ChivehollowException chivehollowFailure) {
            return chivehollowFailure;
        }
        return CoordinationException.mayHaveRun(ErrorCode.INTERNAL, "Internal error", cause);
    }

    /** Returns an error that tells the caller whether the request has certainly not been run. */
    static CoordinationException of(ErrorCode code, String message, boolean notRun) {
        return notRun
                ? CoordinationException.notRun(code, message)
                : CoordinationException.mayHaveRun(code, message, null);
    }

    /** Returns whether the request itself caused the error, so that every backend server would refuse it. */
    static boolean isCausedByRequest(ChivehollowException failure) {
        int status = failure.code().httpStatus();
        return status == 400 || status == 401 || status == 403 || status == 404 || status == 413;
    }

    /** Returns the error that a caller receives for a backend server's failure; internal codes are replaced. */
    static ChivehollowException ofBackend(ChivehollowException failure) {
        return switch (failure.code()) {
            case INTERNAL, CANCELLED, RESERVATION_EXPIRED, FENCED, NOT_LEADER -> of(
                    ErrorCode.BACKEND_FAILED, String.valueOf(failure.getMessage()), failure.isNotRun());
            default -> failure;
        };
    }
}
