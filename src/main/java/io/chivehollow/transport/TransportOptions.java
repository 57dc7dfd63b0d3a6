package io.chivehollow.transport;

import io.chivehollow.base.InstanceId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Options of connections: identity, secret, timeouts and limits.
 *
 * <p>Immutable and thread-safe, provided that the secret's bytes are not changed.
 *
 * @param instance id of this process
 * @param role name of this process's role, sent in the handshake for logs
 * @param secret deployment secret that authenticates both sides
 * @param connectTimeoutMs timeout of connect and handshake, in milliseconds
 * @param heartbeatMs interval of a client's heartbeats while a call is open, in milliseconds
 * @param idleHeartbeatMs interval of a client's heartbeats while no call is open, in milliseconds
 * @param peerTimeoutMs peer timeout, in milliseconds: a connection with open calls is closed if the peer sends no byte
 *     for this time
 * @param maxFrameBytes largest size of a frame after the handshake, in bytes
 */
public record TransportOptions(
        InstanceId instance,
        String role,
        byte[] secret,
        int connectTimeoutMs,
        int heartbeatMs,
        int idleHeartbeatMs,
        int peerTimeoutMs,
        int maxFrameBytes) {

    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
    private static final int DEFAULT_HEARTBEAT_INTERVAL_MS = 500;

    /** At this interval an idle connection between a gateway and a sidecar costs about 35 bytes/s with headers. */
    private static final int DEFAULT_IDLE_HEARTBEAT_INTERVAL_MS = 5_000;

    private static final int DEFAULT_PEER_TIMEOUT_MS = 2_000;
    private static final int DEFAULT_MAX_FRAME_BYTES = 64 << 20;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the secret is shorter than 16 bytes, or if the heartbeat interval is not less
     *     than the peer timeout
     */
    public TransportOptions {
        checkArgument(secret.length >= 16, "secret must have at least 16 bytes, but has %s", secret.length);
        checkArgument(
                heartbeatMs < peerTimeoutMs,
                "heartbeat interval of %s ms must be less than the peer timeout of %s ms",
                heartbeatMs,
                peerTimeoutMs);
    }

    /** Returns options with the default times and sizes. */
    public static TransportOptions of(InstanceId instance, String role, byte[] secret) {
        return new TransportOptions(
                instance,
                role,
                secret.clone(),
                DEFAULT_CONNECT_TIMEOUT_MS,
                DEFAULT_HEARTBEAT_INTERVAL_MS,
                DEFAULT_IDLE_HEARTBEAT_INTERVAL_MS,
                DEFAULT_PEER_TIMEOUT_MS,
                DEFAULT_MAX_FRAME_BYTES);
    }
}
