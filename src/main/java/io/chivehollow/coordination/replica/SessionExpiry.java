package io.chivehollow.coordination.replica;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.CloseSession;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.Session;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.machine.ControlState;
import org.jboss.logging.Logger;

/**
 * Closes the sessions of unresponsive gateways.
 *
 * <p>The timeout of a session starts at the last message of its gateway or at the start of this leader's lease,
 * whichever is later, because a new leader has received no messages yet. Thread-safe.
 */
final class SessionExpiry {

    private static final Logger LOG = Logger.getLogger(SessionExpiry.class);

    private final ReplicatedLog log;
    private final ControlState state;
    private final Clock clock;
    private final long timeoutNanos;
    private final Map<String, Long> lastMessageNanos = new ConcurrentHashMap<>();

    SessionExpiry(ReplicatedLog log, ControlState state, Clock clock, long timeoutMs) {
        this.log = log;
        this.state = state;
        this.clock = clock;
        this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    void onMessage(InstanceId instance) {
        lastMessageNanos.put(instance.value(), clock.nanoTime());
    }

    /** Proposes to close the sessions of unresponsive gateways; does nothing outside the leader lease. */
    void closeExpiredSessions() {
        long nowNanos = clock.nanoTime();
        lastMessageNanos.values().removeIf(lastMessage -> nowNanos - lastMessage > 2 * timeoutNanos);
        if (!log.holdsLease()) {
            return;
        }
        long leaseStartNanos = log.leaseStartNanos();
        for (Session session : state.openSessions()) {
            Long lastMessage = lastMessageNanos.get(session.getInstance());
            long lastNanos = lastMessage == null || lastMessage - leaseStartNanos < 0 ? leaseStartNanos : lastMessage;
            if (nowNanos - lastNanos > timeoutNanos) {
                close(session);
            }
        }
    }

    private void close(Session session) {
        LOG.infof("Closing session %s because gateway %s is unresponsive", session.getId(), session.getInstance());
        Command command = Command.newBuilder()
                .setTimeMs(clock.currentTimeMs())
                .setCloseSession(CloseSession.newBuilder().setSession(session.getId()))
                .build();
        log.propose(command.toByteArray()).whenComplete((applied, failure) -> {
            if (failure != null) {
                // The next run retries if this replica is still the leader.
                LOG.debugf("Session %s was not closed: %s; the next run retries", session.getId(), failure);
            }
        });
    }
}
