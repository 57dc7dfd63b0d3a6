package io.chivehollow.coordination.loads;

import java.util.concurrent.CompletableFuture;

/**
 * A permit, granted or requested, to load one model or adapter into an engine from the weight store.
 *
 * <p>Implementations are thread-safe.
 */
public interface WeightLoadPermit extends AutoCloseable {

    /** Returns a future that completes when the load may start and never fails. */
    CompletableFuture<Void> granted();

    /** Releases the permit or cancels its request, because the load has ended or is no longer needed. */
    @Override
    void close();
}
