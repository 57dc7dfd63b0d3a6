package io.chivehollow.coordination.loads;

import java.util.concurrent.CompletableFuture;

/**
 * Requests permits to load models and adapters into an engine from the weight store.
 *
 * <p>Implementations are thread-safe.
 */
public interface LoadPermits {

    /** Requests a permit; the result must be closed when the load has ended or is no longer needed. */
    LoadPermit request();

    /** Returns an implementation that grants all permits at once, for use where loads are not limited. */
    static LoadPermits unlimited() {
        return () -> new LoadPermit() {
            @Override
            public CompletableFuture<Void> granted() {
                return CompletableFuture.completedFuture(null);
            }

            @Override
            public void close() {
                // The permit occupies nothing.
            }
        };
    }
}
