package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Shows whether the run of a backend server that got a request is still alive.
 *
 * <p>The system closes all connections of a process that ends. A response over a connection that was opened before the
 * request was sent therefore comes from the run that got it. Neither the entry in the platform's list nor a new
 * connection shows that, because another run may start at the address, also under the same id.
 *
 * <p>The connection carries nothing but one probe. It is replaced before the server closes it as idle: the new
 * connection is opened first, so that the response to the probe shows that both belong to the same run.
 *
 * <p>Invariant: two connections have the same generation only if they belong to the same run. Used on the event loop of
 * the forwarding role only.
 */
final class RunWitness {

    /** Limits the wait for a new connection, in milliseconds; a connect takes 2 to 4 ms. */
    private static final int CONNECT_WAIT_MS = 20;

    private static final long NO_GENERATION = -1;

    private final BackendConnections connections;
    private final Backend backend;
    private final List<Runnable> waiting = new ArrayList<>();
    private List<Check> openChecks = new ArrayList<>();
    private @Nullable Channel channel;
    private long openedNanos;
    private long generation;
    private int observations;
    private boolean isConnecting;
    private boolean isRenewing;
    private @Nullable ScheduledFuture<?> renewal;

    RunWitness(BackendConnections connections, Backend backend) {
        this.connections = connections;
        this.backend = backend;
    }

    /** Runs the action once the connection is open or could not be opened. */
    void whenOpen(Runnable action) {
        if (isOpen() && (observations > 0 || remainingNanos() > 0)) {
            action.run();
            return;
        }
        waiting.add(action);
        if (!isConnecting) {
            isConnecting = true;
            connect(this::onConnected);
        }
    }

    private void onConnected(@Nullable Channel opened) {
        isConnecting = false;
        if (opened != null) {
            close();
            channel = opened;
            openedNanos = connections.nanoTime();
            generation++;
        }
        List<Runnable> ready = List.copyOf(waiting);
        waiting.clear();
        ready.forEach(Runnable::run);
    }

    /** Starts to observe the run; must be called before the request is sent. */
    Observation observe() {
        observations++;
        scheduleRenewal();
        return new Observation(isOpen() ? generation : NO_GENERATION);
    }

    /** Closes the connection unless the run is observed. */
    void closeIfUnused() {
        if (observations == 0) {
            close();
        }
    }

    private void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Returns the time until the server may close the connection as idle. */
    private long remainingNanos() {
        return openedNanos + connections.usableNanos(backend.idleTimeoutMs()) - connections.nanoTime();
    }

    private void scheduleRenewal() {
        if (renewal == null && isOpen()) {
            renewal = connections
                    .loop()
                    .schedule(this::onRenewalTime, Math.max(0, remainingNanos()), TimeUnit.NANOSECONDS);
        }
    }

    /** Adapts the time of the renewal to the idle timeout that the server has stated. */
    void onIdleTimeoutChanged() {
        if (renewal != null) {
            renewal.cancel(false);
            renewal = null;
            scheduleRenewal();
        }
    }

    private void onRenewalTime() {
        renewal = null;
        if (observations == 0 || !isOpen()) {
            return;
        }
        if (remainingNanos() > 0) {
            scheduleRenewal();
        } else {
            probe();
        }
    }

    /** Sends a probe over the connection, after the connection that takes its place has been opened. */
    private void probe() {
        if (isRenewing) {
            return;
        }
        Channel probed = channel;
        List<Check> checks = openChecks;
        openChecks = new ArrayList<>();
        checks.stream().filter(check -> check.generation != generation).forEach(check -> check.receiver.accept(false));
        checks.removeIf(check -> check.generation != generation);
        if (probed == null || !probed.isActive()) {
            checks.forEach(check -> check.receiver.accept(false));
            return;
        }
        isRenewing = true;
        connect(successor ->
                connections.probe(backend, probed, isAlive -> onProbed(probed, successor, checks, isAlive)));
    }

    private void onProbed(Channel probed, @Nullable Channel successor, List<Check> checks, boolean isAlive) {
        isRenewing = false;
        if (channel == probed) {
            channel = successor;
            openedNanos = connections.nanoTime();
            if (!isAlive || successor == null) {
                generation++;
            }
        } else if (successor != null) {
            successor.close();
        }
        checks.forEach(check -> check.receiver.accept(isAlive));
        if (!openChecks.isEmpty()) {
            probe();
        }
        if (observations > 0) {
            scheduleRenewal();
        }
    }

    private void connect(Consumer<@Nullable Channel> receiver) {
        PendingConnect pending = new PendingConnect(receiver);
        ScheduledFuture<?> timer =
                connections.loop().schedule(() -> pending.complete(null), CONNECT_WAIT_MS, TimeUnit.MILLISECONDS);
        connections.connect(backend, opened -> {
            timer.cancel(false);
            pending.complete(opened);
        });
    }

    /** A connect whose result is passed on once; a connection that is opened too late is closed. */
    private static final class PendingConnect {

        private final Consumer<@Nullable Channel> receiver;
        private boolean isComplete;

        PendingConnect(Consumer<@Nullable Channel> receiver) {
            this.receiver = receiver;
        }

        void complete(@Nullable Channel opened) {
            if (!isComplete) {
                isComplete = true;
                receiver.accept(opened);
            } else if (opened != null) {
                opened.close();
            }
        }
    }

    /** A question whether the run of the given generation is alive, with the receiver of the answer. */
    private record Check(long generation, Consumer<Boolean> receiver) {}

    /** The observation of a run from the moment before a request is sent to it. */
    final class Observation {

        private final long observedGeneration;
        private boolean isEnded;

        private Observation(long observedGeneration) {
            this.observedGeneration = observedGeneration;
        }

        /** Tells whether the run is still alive; false also if that cannot be shown. */
        void checkAlive(Consumer<Boolean> receiver) {
            if (observedGeneration != generation) {
                receiver.accept(false);
                return;
            }
            openChecks.add(new Check(observedGeneration, receiver));
            probe();
        }

        /** Ends the observation; further calls have no effect. */
        void end() {
            if (isEnded) {
                return;
            }
            isEnded = true;
            observations--;
            if (!backend.isUsable()) {
                closeIfUnused();
            }
        }
    }
}
