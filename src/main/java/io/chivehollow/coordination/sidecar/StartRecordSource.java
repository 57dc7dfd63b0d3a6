package io.chivehollow.coordination.sidecar;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the start record of a sidecar from the replicated log.
 *
 * <p>Implementations are thread-safe.
 */
public interface StartRecordSource {

    /**
     * Records the start of the sidecar in the log and returns its position.
     *
     * <p>The future fails if the log cannot be reached or refuses the record; the caller may retry.
     */
    CompletableFuture<StartRecord> read();
}
