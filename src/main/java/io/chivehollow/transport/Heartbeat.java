package io.chivehollow.transport;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a client sends a heartbeat and when a connection is closed because its peer is unresponsive.
 *
 * <p>A connection is active during the handshake and while a call is open on it, and idle otherwise. Everything that
 * a sidecar reserves for a gateway belongs to an open call.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An active connection is closed at the latest {@link TransportOptions#peerTimeoutMs} after the last byte from
 *       the peer, or, if the connection was idle at that time, after it became active.
 *   <li>If the client has sent a heartbeat on an idle connection, this timeout starts at that heartbeat. Calls that
 *       are opened or ended meanwhile do not restart it.
 * </ul>
 *
 * <p>Used by one thread at a time.
 */
final class Heartbeat {

    /**
     * Other traffic in both directions replaces heartbeats for the active heartbeat interval times this factor. An
     * instance that reads the configuration polls a replica every 550 ms; with this factor its connection needs no
     * heartbeat, and no more than 0.6 s pass without bytes from either side.
     */
    private static final double TRAFFIC_INTERVAL_FACTOR = 1.2;

    private final boolean isClient;
    private final long activeIntervalNanos;
    private final long idleIntervalNanos;
    private final long activeTimeoutNanos;
    private final long idleTimeoutNanos;
    private boolean isActive = true;
    private boolean isAwaitingResponse;
    private long timeoutStartNanos;
    private long lastPingNanos;
    private long lastReadNanos;
    private long lastWriteNanos;

    Heartbeat(TransportOptions options, boolean isClient, long now) {
        this.isClient = isClient;
        this.activeIntervalNanos = TimeUnit.MILLISECONDS.toNanos(options.heartbeatMs());
        this.idleIntervalNanos = TimeUnit.MILLISECONDS.toNanos(options.idleHeartbeatMs());
        this.activeTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.peerTimeoutMs());
        // The loss of one heartbeat must not close an idle connection.
        this.idleTimeoutNanos = 2 * idleIntervalNanos + activeTimeoutNanos;
        this.timeoutStartNanos = now;
        this.lastPingNanos = now;
        this.lastReadNanos = now;
        this.lastWriteNanos = now;
    }

    /** The action that is due at a tick. */
    enum Action {
        NONE,
        PING,
        CLOSE
    }

    void onRead(long now) {
        timeoutStartNanos = now;
        lastReadNanos = now;
        isAwaitingResponse = false;
    }

    /** Records that a frame other than a heartbeat was sent. */
    void onWrite(long now) {
        lastWriteNanos = now;
    }

    /** Updates whether the connection is active and returns the action that is due. */
    Action tick(boolean isActiveNow, long now) {
        if (isClient && isActiveNow && !isActive && !isAwaitingResponse) {
            timeoutStartNanos = now;
        }
        isActive = isActiveNow;
        if (now - timeoutStartNanos >= timeoutNanos()) {
            return Action.CLOSE;
        }
        if (!isClient || now < nextPingNanos()) {
            return Action.NONE;
        }
        lastPingNanos = now;
        if (!isActive && !isAwaitingResponse) {
            timeoutStartNanos = now;
        }
        isAwaitingResponse = true;
        return Action.PING;
    }

    /** Returns the time of the next tick; if a call is opened earlier, {@link #tick} must be called at that time. */
    long nextTickNanos() {
        long closeNanos = timeoutStartNanos + timeoutNanos();
        return isClient ? Math.min(closeNanos, nextPingNanos()) : closeNanos;
    }

    private long nextPingNanos() {
        long interval = isActive ? activeIntervalNanos : idleIntervalNanos;
        long trafficCoversUntilNanos =
                Math.min(lastReadNanos, lastWriteNanos) + (long) (activeIntervalNanos * TRAFFIC_INTERVAL_FACTOR);
        return Math.max(lastPingNanos + interval, trafficCoversUntilNanos);
    }

    private long timeoutNanos() {
        return isActive || isAwaitingResponse ? activeTimeoutNanos : idleTimeoutNanos;
    }
}
