package io.chivehollow.coordination.forwarding;

import java.util.List;
import java.util.concurrent.CompletableFuture;
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
 * Reads the platform's list of backend servers periodically.
 *
 * <p>Invariant: at most one read is in progress, and each is followed by another, however it ends; while the list
 * cannot be read, the last one stays in use. Thread-safe.
 */
final class BackendListPoller implements AutoCloseable {

    /**
     * Minimum pause after a failed read; a random time of up to the same length is added, so that instances do not
     * retry at the same time.
     */
    private static final int RETRY_MS = 300;

    private static final Logger LOG = Logger.getLogger(BackendListPoller.class);

    private final BackendList list;
    private final BackendTable table;
    private final BackendConnections connections;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final int periodMs;
    private volatile boolean hasRead;
    private volatile boolean isClosed;
    private boolean hasFailed;

    BackendListPoller(
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
            // Also covers a read that throws instead of returning a future.
            CompletableFuture.completedFuture(list)
                    .thenCompose(BackendList::read)
                    .thenAcceptAsync(this::onRead, loop)
                    .whenCompleteAsync((done, failure) -> onEnd(failure), loop);
        }
    }

    private void onRead(List<BackendEntry> entries) {
        if (!isClosed) {
            table.update(entries).forEach(connections::closeIdle);
            hasRead = true;
        }
    }

    private void onEnd(@Nullable Throwable failure) {
        if (isClosed) {
            return;
        }
        if (failure != null) {
            if (!hasFailed) {
                LOG.warnf(
                        "The list of backend servers cannot be read; the last one received stays in use: %s", failure);
            }
            hasFailed = true;
            scheduler.schedule(RETRY_MS + ThreadLocalRandom.current().nextInt(RETRY_MS), this::read);
            return;
        }
        if (hasFailed) {
            LOG.info("The list of backend servers can be read again");
        }
        hasFailed = false;
        scheduler.schedule(periodMs, this::read);
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
