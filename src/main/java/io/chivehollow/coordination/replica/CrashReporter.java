package io.chivehollow.coordination.replica;

import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.ShareCrashes;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges the crashes of a {@link CrashLedger} with the leader, which has those of all processes.
 *
 * <p>A message is sent every second, and soon after a change. It has the crashes only if the leader's last digest
 * differs from the ledger's, so that a new leader gets them all. At most one message awaits its response. Thread-safe;
 * guarded by its own lock.
 */
public final class CrashReporter implements AutoCloseable {

    private static final int PERIOD_MS = 1_000;

    /** Delay of an early message in ms; combines changes that follow each other. */
    private static final int EARLY_DELAY_MS = 5;

    private static final int RETRY_DELAY_MS = 100;
    private static final int RESPONSE_TIMEOUT_MS = 500;
    private static final Logger LOG = Logger.getLogger(CrashReporter.class);

    private final CrashLedger ledger;
    private final ControlClient client;
    private final Scheduler scheduler;
    private Scheduler.@Nullable Timer next;
    private boolean isAwaitingResponse;
    private boolean isClosed;
    private long leaderDigest;

    private CrashReporter(CrashLedger ledger, ControlClient client, Scheduler scheduler) {
        this.ledger = ledger;
        this.client = client;
        this.scheduler = scheduler;
    }

    /** Starts the exchange. */
    public static CrashReporter start(CrashLedger ledger, ControlClient client, Scheduler scheduler) {
        CrashReporter reporter = new CrashReporter(ledger, client, scheduler);
        ledger.setChangeListener(reporter::onChange);
        reporter.schedule(0);
        return reporter;
    }

    private synchronized void onChange() {
        if (!isAwaitingResponse) {
            schedule(EARLY_DELAY_MS);
        }
    }

    private synchronized void schedule(long delayMs) {
        if (next != null) {
            next.cancel();
        }
        if (!isClosed) {
            next = scheduler.schedule(delayMs, this::send);
        }
    }

    private void send() {
        long digest = ledger.digest();
        ShareCrashes.Builder message = ShareCrashes.newBuilder().setDigest(digest);
        synchronized (this) {
            if (isClosed || isAwaitingResponse) {
                return;
            }
            isAwaitingResponse = true;
            if (digest != leaderDigest) {
                message.addAllCrashes(ledger.toMessages());
            }
        }
        call(Frame.newBuilder().setShareCrashes(message).build()).whenComplete(this::onResponse);
    }

    private CompletableFuture<Frame> call(Frame frame) {
        try {
            return client.callLeaderOnce(frame, RESPONSE_TIMEOUT_MS);
        } catch (RuntimeException e) {
            // Occurs for example when the connections are shut down; later messages must still be sent.
            return CompletableFuture.failedFuture(e);
        }
    }

    private synchronized void onResponse(@Nullable Frame response, @Nullable Throwable failure) {
        isAwaitingResponse = false;
        if (response == null || !response.hasSharedCrashes()) {
            LOG.debugf("The leader did not take the known crashes of backend servers: %s", failure);
            schedule(RETRY_DELAY_MS);
            return;
        }
        ledger.merge(response.getSharedCrashes().getCrashesList());
        leaderDigest = response.getSharedCrashes().getDigest();
        schedule(ledger.digest() == leaderDigest ? PERIOD_MS : RETRY_DELAY_MS);
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        if (next != null) {
            next.cancel();
        }
    }
}
