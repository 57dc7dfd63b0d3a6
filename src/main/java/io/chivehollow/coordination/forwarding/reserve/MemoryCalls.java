package io.chivehollow.coordination.forwarding.reserve;

import java.util.Optional;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.ShortResponse;
import org.jboss.logging.Logger;

/**
 * Sends the calls that reserve and release memory.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
interface MemoryCalls {

    /** Requests memory; the listener is called once. */
    void reserve(Backend backend, long tokens, long reservationMs, Listener listener);

    /** Releases a reservation. */
    void release(Backend backend, String reservation);

    /** Receives the end of a request for memory. */
    interface Listener {

        /**
         * Called with the result.
         *
         * @param isAnswered whether the backend server has responded
         * @param reservation id of the reservation, or an empty value if none was granted
         */
        void onEnd(boolean isAnswered, Optional<String> reservation);
    }

    /** Returns calls over the connections. */
    static MemoryCalls over(BackendConnections connections, Dialect dialect, LongSupplier nanoTime) {
        return new OverConnections(connections, dialect, nanoTime);
    }

    /** The calls as HTTP requests. */
    final class OverConnections implements MemoryCalls {

        private static final int OK = 200;
        private static final Logger LOG = Logger.getLogger(MemoryQueue.class);

        private final BackendConnections connections;
        private final Dialect dialect;
        private final LongSupplier nanoTime;

        private OverConnections(BackendConnections connections, Dialect dialect, LongSupplier nanoTime) {
            this.connections = connections;
            this.dialect = dialect;
            this.nanoTime = nanoTime;
        }

        @Override
        public void reserve(Backend backend, long tokens, long reservationMs, Listener listener) {
            connections.sendOwn(
                    backend,
                    dialect.reserve(backend.id(), tokens, reservationMs),
                    ShortResponse.of(
                            backend,
                            dialect,
                            nanoTime,
                            (status, body) -> listener.onEnd(
                                    status != ShortResponse.NO_STATUS,
                                    status == OK ? dialect.readReservation(body) : Optional.empty())),
                    ShortResponse.TIMEOUT_MS);
        }

        @Override
        public void release(Backend backend, String reservation) {
            connections.sendOwn(
                    backend,
                    dialect.releaseReservation(backend.id(), reservation),
                    ShortResponse.of(
                            backend,
                            dialect,
                            nanoTime,
                            (status, body) ->
                                    LOG.debugf("Response to the release of a memory reservation: status %d", status)),
                    ShortResponse.TIMEOUT_MS);
        }
    }
}
