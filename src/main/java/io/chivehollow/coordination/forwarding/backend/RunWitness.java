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
 * <p>The connection carries probes only, one at a time, also so that the server does not close it as idle. If it is
 * closed after a response, a connection takes its place that was opened before the probe was sent; the response
 * shows that both belong to the same run. A run that does not respond may still be alive while the connection is open.
 *
 * <p>Invariant: two connections have the same generation only if they belong to the same run, provided that two runs
 * never accept connections or respond at one address at the same time. Used on the event loop of the forwarding role
 * only.
 */
final class RunWitness {

    /** Limits the wait for a new connection, in milliseconds; a connect takes 2 to 4 ms unless a packet is lost. */
    private static final int CONNECT_WAIT_MS = 100;

    /** Time in milliseconds after a failed connect in which requests do not wait for the next one. */
    private static final long FAILED_CONNECT_PAUSE_MS = 500;

    /** Limits the rate of renewals for a server that states a very short idle timeout. */
    private static final long MIN_RENEWAL_MS = 250;

    /** Limits the wait for the answer to a check, in milliseconds; a run refuses a probe without a free slot. */
    private static final int CHECK_TIMEOUT_MS = 1_000;

    private static final long NO_GENERATION = -1;

    private final BackendConnections connections;
    private final Backend backend;
    private final List<Runnable> waiting = new ArrayList<>();
    private List<Check> openChecks = new ArrayList<>();
    private @Nullable Channel channel;
    private long openedNanos;
    private long connectFailedNanos;
    private boolean hasConnectFailed;
    private long generation;
    private int observations;
    private boolean isConnecting;
    private boolean isProbing;
    private boolean hasProbedHeldServer;
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
        boolean mayWait = !hasConnectFailed
                || connections.nanoTime() - connectFailedNanos > TimeUnit.MILLISECONDS.toNanos(FAILED_CONNECT_PAUSE_MS);
        if (!mayWait) {
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
        if (opened != null && isOpen() && remainingNanos() > 0) {
            opened.close();
        } else if (opened != null) {
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

    /** Ends what is known of the run, because its address has changed. */
    void reset() {
        close();
        channel = null;
        generation++;
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
        long usableNanos = Math.max(
                connections.usableNanos(backend.idleTimeoutMs()), TimeUnit.MILLISECONDS.toNanos(MIN_RENEWAL_MS));
        return openedNanos + usableNanos - connections.nanoTime();
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
        long heldNanos = backend.heldNanos(connections.nanoTime());
        if (heldNanos > 0) {
            renewal = connections.loop().schedule(this::onRenewalTime, heldNanos, TimeUnit.NANOSECONDS);
        } else if (remainingNanos() > 0) {
            scheduleRenewal();
        } else {
            probe();
        }
    }

    private void probe() {
        if (isProbing) {
            return;
        }
        Channel probed = channel;
        List<Check> checks = openChecks;
        openChecks = new ArrayList<>();
        if (probed == null || !probed.isActive() || !mayProbe()) {
            checks.forEach(check -> check.complete(false));
            return;
        }
        isProbing = true;
        if (checks.size() >= observations) {
            sendProbe(probed, null, checks);
        } else {
            connect(successor -> sendProbe(probed, successor, checks));
        }
    }

    /** Allows one probe in the time for which the server wants no requests. */
    private boolean mayProbe() {
        boolean isHeld = backend.heldNanos(connections.nanoTime()) > 0;
        boolean isAllowed = !isHeld || !hasProbedHeldServer;
        hasProbedHeldServer = isHeld;
        return isAllowed;
    }

    private void sendProbe(Channel probed, @Nullable Channel successor, List<Check> checks) {
        long sentNanos = connections.nanoTime();
        long probedGeneration = generation;
        connections.probe(backend, probed, (isAlive, reusable) -> {
            Channel next = successor;
            if (reusable != null) {
                next = reusable;
                if (successor != null) {
                    successor.close();
                }
            }
            onProbed(probed, next, sentNanos, isAlive);
            checks.forEach(check -> check.complete(isAlive && check.generation == probedGeneration));
        });
    }

    private void onProbed(Channel probed, @Nullable Channel next, long sentNanos, boolean isAlive) {
        isProbing = false;
        if (channel != probed) {
            if (next != null) {
                next.close();
            }
        } else {
            if (next != probed) {
                probed.close();
            }
            channel = next;
            openedNanos = sentNanos;
            if (!isAlive || next == null) {
                generation++;
            }
        }
        if (!openChecks.isEmpty()) {
            connections.loop().execute(this::probe);
        }
        if (observations > 0) {
            scheduleRenewal();
        } else if (!backend.isUsable()) {
            close();
        }
    }

    private void connect(Consumer<@Nullable Channel> receiver) {
        PendingConnect pending = new PendingConnect(result -> {
            hasConnectFailed = result == null;
            connectFailedNanos = connections.nanoTime();
            receiver.accept(result);
        });
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

    /** A question whether the run of a generation is alive; it is answered once. */
    private static final class Check {

        private final long generation;
        private final Consumer<Boolean> receiver;
        private boolean isComplete;

        Check(long generation, Consumer<Boolean> receiver) {
            this.generation = generation;
            this.receiver = receiver;
        }

        void complete(boolean isAlive) {
            if (!isComplete) {
                isComplete = true;
                receiver.accept(isAlive);
            }
        }
    }

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
            Check check = new Check(observedGeneration, receiver);
            openChecks.add(check);
            connections.loop().schedule(() -> check.complete(false), CHECK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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
