package io.chivehollow.coordination.replica;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.loads.LoadPermit;
import io.chivehollow.coordination.loads.LoadPermits;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.LoadReport;

/**
 * Permits for loads from the weight store that the replica leader grants.
 *
 * <p>Each permit sends a report every second until it is closed. While there is no leader, a waiting load continues to
 * wait, and a running load continues because it cannot be stopped. Thread-safe.
 */
public final class LeaderLoadPermits implements LoadPermits {

    private static final int REPORT_PERIOD_MS = 1_000;
    private static final int RESPONSE_TIMEOUT_MS = 1_000;

    private final ControlClient control;
    private final Clock clock;
    private final Scheduler scheduler;

    private LeaderLoadPermits(ControlClient control, Clock clock, Scheduler scheduler) {
        this.control = control;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Returns permits that are requested through the given client. */
    public static LeaderLoadPermits create(ControlClient control, Clock clock, Scheduler scheduler) {
        return new LeaderLoadPermits(control, clock, scheduler);
    }

    @Override
    public LoadPermit request() {
        Permit permit = new Permit();
        permit.start();
        return permit;
    }

    private final class Permit implements LoadPermit {

        private final String id = UUID.randomUUID().toString();
        private final long requestedNanos = clock.nanoTime();
        private final CompletableFuture<Void> granted = new CompletableFuture<>();
        private Scheduler.Timer timer;
        private boolean isClosed;

        synchronized void start() {
            timer = scheduler.scheduleRepeating(REPORT_PERIOD_MS, this::report);
            report();
        }

        private synchronized void report() {
            if (!isClosed) {
                send(granted.isDone() ? LoadReport.Stage.LOADING : LoadReport.Stage.WAITING);
            }
        }

        private void send(LoadReport.Stage stage) {
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - requestedNanos);
            LoadReport report = LoadReport.newBuilder()
                    .setPermit(id)
                    .setStage(stage)
                    .setWaitedMs((int) Math.min(waitedMs, Integer.MAX_VALUE))
                    .build();
            Frame frame = Frame.newBuilder().setLoadReport(report).build();
            control.callLeaderOnce(frame, RESPONSE_TIMEOUT_MS).thenAccept(response -> {
                if (response.hasLoadPlace() && response.getLoadPlace().getPlace() == 0) {
                    granted.complete(null);
                }
            });
        }

        @Override
        public CompletableFuture<Void> granted() {
            return granted;
        }

        @Override
        public synchronized void close() {
            if (isClosed) {
                return;
            }
            isClosed = true;
            timer.cancel();
            send(LoadReport.Stage.ENDED);
        }
    }
}
