package io.chivehollow.coordination.config;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.ConfigUpdate;
import io.chivehollow.protocol.wire.Watch;

/**
 * Requests the released state from a replica.
 *
 * <p>Implementations are thread-safe.
 */
interface ConfigSource {

    /** Sends the watch; the future fails if no response arrives within {@code timeoutMs} milliseconds. */
    CompletableFuture<ConfigUpdate> watch(InetSocketAddress replica, Watch watch, int timeoutMs);
}
