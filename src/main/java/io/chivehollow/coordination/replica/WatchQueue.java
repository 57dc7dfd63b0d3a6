package io.chivehollow.coordination.replica;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.wire.ConfigUpdate;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Watch;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;

/**
 * Responds to watches; if the watcher's version is current, the response is delayed until a change or a timeout.
 *
 * <p>Invariant: the age in a response was read before the state in it. The state thus contains everything that was
 * committed up to that age before the response. Thread-safe.
 */
final class WatchQueue {

    /** Upper limit, in ms, of the delay that a watch may request; bounds how long a call stays open. */
    private static final int MAX_WAIT_MS = 10_000;

    private final ReplicatedLog log;
    private final ControlState state;
    private final Scheduler scheduler;
    private final Set<PendingWatch> pendingWatches = ConcurrentHashMap.newKeySet();

    WatchQueue(ReplicatedLog log, ControlState state, Scheduler scheduler) {
        this.log = log;
        this.state = state;
        this.scheduler = scheduler;
    }

    ServerCallListener add(ServerCall call, Watch watch) {
        int waitMs = Integer.compareUnsigned(watch.getWaitMs(), MAX_WAIT_MS) > 0 ? MAX_WAIT_MS : watch.getWaitMs();
        if (waitMs == 0 || state.released().getVersion() > watch.getFromVersion()) {
            respond(call, watch);
            return ServerCallListener.none();
        }
        PendingWatch pendingWatch = new PendingWatch(call, watch);
        pendingWatches.add(pendingWatch);
        pendingWatch.timer = scheduler.schedule(waitMs, pendingWatch::respondOnce);
        if (state.released().getVersion() > watch.getFromVersion()) {
            // The state changed after the first check, possibly before the watch was added.
            pendingWatch.respondOnce();
        }
        return pendingWatch;
    }

    void onReleasedStateChange() {
        pendingWatches.forEach(PendingWatch::respondOnce);
    }

    private void respond(ServerCall call, Watch watch) {
        long ageMs = log.ageMs();
        if (ageMs > Integer.MAX_VALUE) {
            call.fail(ErrorCode.CONFIGURATION_STALE, "This replica has not received a message from a leader yet", true);
            return;
        }
        ReleasedState released = state.released();
        ConfigUpdate.Builder update =
                ConfigUpdate.newBuilder().setVersion(released.getVersion()).setAgeMs((int) ageMs);
        if (released.getVersion() > watch.getFromVersion()) {
            update.setState(released);
        }
        call.finish(Frame.newBuilder().setConfigUpdate(update));
    }

    /** A watch whose response is delayed; responded to at most once. */
    private final class PendingWatch implements ServerCallListener {

        private final ServerCall call;
        private final Watch watch;
        private final AtomicBoolean isDone = new AtomicBoolean();
        private volatile Scheduler.Timer timer = () -> {};

        PendingWatch(ServerCall call, Watch watch) {
            this.call = call;
            this.watch = watch;
        }

        void respondOnce() {
            if (end()) {
                respond(call, watch);
            }
        }

        private boolean end() {
            if (!isDone.compareAndSet(false, true)) {
                return false;
            }
            pendingWatches.remove(this);
            timer.cancel();
            return true;
        }

        @Override
        public void onCancel() {
            end();
        }
    }
}
