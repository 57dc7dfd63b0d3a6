package io.chivehollow.transport;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Failure;

/**
 * Converts failures that a peer reports into exceptions.
 *
 * <p>Stateless and thread-safe.
 */
final class RemoteFailures {

    private RemoteFailures() {}

    static TransportException toException(Failure failure) {
        return TransportException.reported(
                ErrorCode.fromWireName(failure.getCode()),
                failure.getMessage(),
                failure.getNotRun(),
                failure.hasLoad() ? failure.getLoad() : null);
    }
}
