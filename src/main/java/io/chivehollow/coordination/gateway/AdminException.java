package io.chivehollow.coordination.gateway;

import java.util.List;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;

/**
 * An error response to an operator's request that lists every fault found in the request.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
final class AdminException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    AdminException(ErrorCode code, String message, List<String> faults) {
        super(code, message, true, null);
        this.faults = List.copyOf(faults);
    }

    List<String> faults() {
        return faults;
    }
}
