package io.chivehollow.coordination.forwarding.adapter;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's list of backend servers.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface BackendList {

    /**
     * Reads the whole list; entries that cannot be parsed are skipped and logged. The future fails if the list cannot
     * be read.
     */
    CompletableFuture<List<BackendEntry>> read();
}
