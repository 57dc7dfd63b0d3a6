package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.OpenSession;
import io.chivehollow.protocol.wire.Session;

/**
 * Sessions of gateways; each run of a gateway process has a session of its own.
 *
 * <p>Invariants: an instance has at most one open session, and a closed session is never opened again. Not
 * thread-safe.
 */
final class GatewaySessions {

    /** Time for which a closed session is stored, so that an OpenSession command that arrives late cannot reopen it. */
    private static final long CLOSED_RETENTION_MS = 3_600_000;

    private final Map<String, Session> sessions = new TreeMap<>();

    /** Opens the session and adds the ids of the sessions that this closed to the list. */
    CommandResult.Builder open(OpenSession command, long nowMs, List<String> closedSessions) {
        if (!Identifiers.isIdentifier(command.getSession()) || !Identifiers.isIdentifier(command.getInstance())) {
            return CommandResults.refused(
                    ErrorCode.INVALID_REQUEST, "session and instance: expected an identifier for each");
        }
        Session existing = sessions.get(command.getSession());
        if (existing != null) {
            boolean isRetry = !existing.getClosed() && existing.getInstance().equals(command.getInstance());
            return isRetry
                    ? CommandResult.newBuilder()
                    : CommandResults.refused(
                            ErrorCode.FENCED,
                            "session " + command.getSession() + " is closed or belongs to another instance");
        }
        // A new process of this instance has started, so the process of the former session has ended.
        for (Session other : new ArrayList<>(sessions.values())) {
            if (!other.getClosed() && other.getInstance().equals(command.getInstance())) {
                close(other.getId(), nowMs);
                closedSessions.add(other.getId());
            }
        }
        sessions.put(
                command.getSession(),
                Session.newBuilder()
                        .setId(command.getSession())
                        .setInstance(command.getInstance())
                        .build());
        return CommandResult.newBuilder();
    }

    /** Closes the session and stores its id as closed, even if it was never opened. */
    void close(String id, long nowMs) {
        Session existing = sessions.get(id);
        if (existing != null && existing.getClosed()) {
            return;
        }
        Session.Builder session = existing == null ? Session.newBuilder().setId(id) : existing.toBuilder();
        sessions.put(id, session.setClosed(true).setClosedMs(nowMs).build());
    }

    boolean isOpen(String id) {
        Session session = sessions.get(id);
        return session != null && !session.getClosed();
    }

    List<Session> openSessions() {
        return sessions.values().stream()
                .filter(session -> !session.getClosed())
                .toList();
    }

    void removeExpired(long nowMs) {
        sessions.values()
                .removeIf(session -> session.getClosed() && session.getClosedMs() + CLOSED_RETENTION_MS < nowMs);
    }

    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllSessions(sessions.values());
    }

    void restore(ControlSnapshot snapshot) {
        sessions.clear();
        for (Session session : snapshot.getSessionsList()) {
            sessions.put(session.getId(), session);
        }
    }
}
