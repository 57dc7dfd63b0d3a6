package io.chivehollow.protocol.engine;

import java.util.concurrent.CompletableFuture;

/**
 * An open call to a backend server.
 *
 * <p>Implementations are thread-safe. The result fails with an {@link EngineException}; it completes on a thread that
 * must not be blocked.
 *
 * @param <T> the type of the result
 */
public interface EngineCall<T> {

    /** Returns the future result of the call. */
    CompletableFuture<T> result();

    /** Cancels the call by closing its connection, which an engine treats as a cancellation; the result then fails. */
    void cancel();
}
