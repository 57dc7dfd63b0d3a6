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

    /** Reads the whole list; entries that cannot be read are left out and logged. */
    CompletableFuture<List<BackendEntry>> read();
}
