package io.chivehollow.coordination.forwarding.ingress;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.chivehollow.coordination.forwarding.pressure.HeldBytes;
import io.chivehollow.coordination.forwarding.pressure.HeldBytes.Level;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest;
import io.chivehollow.coordination.forwarding.pressure.LetGoOrder;
import io.chivehollow.coordination.forwarding.pressure.ProcessPressure;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what the connections of callers hold within the common bound: first callers are not read, then the requests
 * whose loss costs least are let go.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class HeldLimit {

    private static final Logger LOG = Logger.getLogger(HeldLimit.class);

    /**
     * Ticks after which a request is let go if callers could not be read in all of them; otherwise incomplete bodies
     * that fill the memory together would wait for each other.
     */
    private static final int MAX_PAUSED_TICKS = 5;

    /** Limits the log to 25 lines a second. */
    private static final int MAX_LINES_PER_TICK = 5;

    private final EventLoop loop;
    private final ProcessPressure pressure;
    private final HeldBytes held;
    private final Set<IngressConnection> connections;
    private final Set<IngressConnection> paused = new HashSet<>();
    private boolean isScheduled;
    private int pausedTicks;
    private int lines;
    private int omittedLines;

    HeldLimit(EventLoop loop, ProcessPressure pressure, Set<IngressConnection> connections) {
        this.loop = loop;
        this.pressure = pressure;
        this.held = pressure.held();
        this.connections = connections;
    }

    /** Called when a connection holds more; its own request is let go later, because it is being processed. */
    void onHeldChanged(IngressConnection changed) {
        if (held.level() != Level.EXCEEDED) {
            return;
        }
        refresh();
        letGoWhile(Level.EXCEEDED, changed);
        if (held.level() == Level.EXCEEDED && !isScheduled) {
            isScheduled = true;
            loop.execute(() -> {
                isScheduled = false;
                refresh();
                letGoWhile(Level.EXCEEDED, null);
            });
        }
    }

    /** Returns whether the connection has to stop reading a body; it is resumed when there is room. */
    boolean pausesReading(IngressConnection connection) {
        if (held.level().compareTo(Level.SCARCE) < 0) {
            return false;
        }
        paused.add(connection);
        return true;
    }

    void onClosed(IngressConnection connection) {
        paused.remove(connection);
    }

    void onTick() {
        if (omittedLines > 0) {
            LOG.warnf("Has let %d more requests go", omittedLines);
        }
        lines = 0;
        omittedLines = 0;
        refresh();
        if (held.level().compareTo(Level.SCARCE) < 0) {
            pausedTicks = 0;
            List<IngressConnection> resumed = List.copyOf(paused);
            paused.clear();
            resumed.forEach(IngressConnection::resumeReading);
        } else if (!paused.isEmpty() && ++pausedTicks > MAX_PAUSED_TICKS) {
            letGoWhile(Level.SCARCE, null);
        }
    }

    private void refresh() {
        if (held.totalBytes() > 0) {
            connections.forEach(IngressConnection::refreshHeld);
        }
    }

    /** Lets requests go until less than the given level is in use, or the next one is that of the given connection. */
    private void letGoWhile(Level level, @Nullable IngressConnection last) {
        while (held.level().compareTo(level) >= 0) {
            Optional<IngressConnection> choice = LetGoOrder.leastCostly(connections, IngressConnection::heldRequest);
            if (choice.isEmpty() || choice.get() == last) {
                return;
            }
            letGo(choice.get());
        }
    }

    private void letGo(IngressConnection connection) {
        HeldRequest request = connection.heldRequest();
        String reason = "The process holds " + held.totalBytes() + " of " + held.limitBytes()
                + " bytes for callers and backend servers";
        if (lines++ < MAX_LINES_PER_TICK) {
            LOG.warnf("Lets request %s go, %s: %s", connection.requestId(), request, reason);
        } else {
            omittedLines++;
        }
        pressure.onLetGo(request);
        connection.letGo(reason);
    }
}
