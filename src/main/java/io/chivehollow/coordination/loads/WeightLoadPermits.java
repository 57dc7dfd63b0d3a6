package io.chivehollow.coordination.loads;

import java.util.concurrent.CompletableFuture;

/**
 * Requests permits to load models and adapters into an engine from the weight store.
 *
 * <p>Implementations are thread-safe.
 */
public interface WeightLoadPermits {

    /** Requests a permit; the result must be closed when the load has ended or is no longer needed. */
    WeightLoadPermit request();

    /** Returns an implementation that grants all permits at once, for use where loads are not limited. */
    static WeightLoadPermits unlimited() {
        return () -> new WeightLoadPermit() {
            @Override
            public CompletableFuture<Void> granted() {
                return CompletableFuture.completedFuture(null);
            }

            @Override
            public void close() {
                // There is nothing to release, because loads are not limited.
            }
        };
    }
}
