package io.chivehollow.coordination.gateway;

import java.util.List;

import io.chivehollow.base.RequestId;

/**
 * The result of a shutdown.
 *
 * <p>Immutable and thread-safe.
 *
 * @param interrupted requests that were still open when the shutdown time was over
 */
public record ShutdownReport(List<RequestId> interrupted) {

    public ShutdownReport {
        interrupted = List.copyOf(interrupted);
    }
}
