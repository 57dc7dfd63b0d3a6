package io.chivehollow.coordination.forwarding;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendList;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendTable;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's list of backend servers again and again.
 *
 * <p>Invariant: at most one reading is open; while the list cannot be read the last one stays in use. Thread-safe.
 */
final class BackendListReader implements AutoCloseable {

    /** Pause after a reading that failed; part of it is random, so that instances do not ask all at once. */
    private static final int RETRY_MS = 300;

    private static final Logger LOG = Logger.getLogger(BackendListReader.class);

    private final BackendList list;
    private final BackendTable table;
    private final BackendConnections connections;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final int periodMs;
    private volatile boolean hasRead;
    private volatile boolean isClosed;
    private boolean hasFailed;

    BackendListReader(
            BackendList list,
            BackendTable table,
            BackendConnections connections,
            EventLoop loop,
            Scheduler scheduler,
            int periodMs) {
        this.list = list;
        this.table = table;
        this.connections = connections;
        this.loop = loop;
        this.scheduler = scheduler;
        this.periodMs = periodMs;
    }

    void start() {
        read();
    }

    /** Returns whether the list has been read at least once. */
    boolean hasRead() {
        return hasRead;
    }

    private void read() {
        if (!isClosed) {
            list.read().whenComplete((entries, failure) -> loop.execute(() -> onRead(entries, failure)));
        }
    }

    private void onRead(@Nullable List<BackendEntry> entries, @Nullable Throwable failure) {
        if (isClosed) {
            return;
        }
        if (entries == null) {
            if (!hasFailed) {
                LOG.warnf("The list of backend servers cannot be read, the last one stays in use: %s", failure);
            }
            hasFailed = true;
            scheduler.schedule(RETRY_MS + ThreadLocalRandom.current().nextInt(RETRY_MS), this::read);
            return;
        }
        if (hasFailed) {
            LOG.info("The list of backend servers can be read again");
        }
        hasFailed = false;
        hasRead = true;
        table.update(entries).forEach(connections::closeIdle);
        scheduler.schedule(periodMs, this::read);
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
