package io.chivehollow.coordination.forwarding.stage;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendTable;
import io.chivehollow.coordination.forwarding.backend.ShortAnswer;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.NextFencingNumber;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Gives backend servers the orders that the planner asks for.
 *
 * <p>Invariants: only the instance that leads the replicas gives orders, and only after it has led for longer than
 * orders of an earlier leader may be under way; each order bears a number from the replicated log, higher than that of
 * every earlier order to the same server; one order is open at a time. Used on the event loop of the forwarding role.
 */
public final class StageOrders {

    /** Time for which an instance must have led; another leader's orders count for 3 s in both deployments. */
    private static final long LED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time for which the list must have been the same, so that a system that starts is seen as a whole. */
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A changed server is back after 6 s, and the list lags; an order without an answer may act 12 s later. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Servers accept an order at once; one without an answer may still be carried out. */
    private static final int ORDER_TIMEOUT_MS = 1_000;

    private static final int PERIOD_MS = 500;
    private static final Logger LOG = Logger.getLogger(StageOrders.class);

    private final InstanceId instance;
    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final BooleanSupplier leads;
    private final Function<Command, CompletableFuture<CommandResult>> log;
    private final Dialect dialect;
    private final BackendTable table;
    private final BackendConnections connections;
    private Map<String, BackendEntry.Stage> lastSeen = Map.of();
    private long seenSinceNanos;
    private long leadsSinceNanos;
    private boolean hasLed;
    private long nextOrderNanos;

    private StageOrders(
            InstanceId instance,
            EventLoop loop,
            LongSupplier nanoTime,
            BooleanSupplier leads,
            Function<Command, CompletableFuture<CommandResult>> log,
            Dialect dialect,
            BackendTable table,
            BackendConnections connections) {
        this.instance = instance;
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.leads = leads;
        this.log = log;
        this.dialect = dialect;
        this.table = table;
        this.connections = connections;
        this.nextOrderNanos = nanoTime.getAsLong();
    }

    /**
     * Starts to look for changes that are needed.
     *
     * @param instance holder of the orders
     * @param loop event loop of the forwarding role
     * @param nanoTime monotonic clock
     * @param leads whether this instance leads the replicas
     * @param log proposes a command to the replicated log
     * @param dialect translation of the orders
     * @param table the backend servers
     * @param connections connections to them
     */
    public static void start(
            InstanceId instance,
            EventLoop loop,
            LongSupplier nanoTime,
            BooleanSupplier leads,
            Function<Command, CompletableFuture<CommandResult>> log,
            Dialect dialect,
            BackendTable table,
            BackendConnections connections) {
        StageOrders orders = new StageOrders(instance, loop, nanoTime, leads, log, dialect, table, connections);
        loop.scheduleWithFixedDelay(orders::look, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        long now = nanoTime.getAsLong();
        List<BackendEntry> entries = table.all().stream().map(Backend::entry).toList();
        noteEntries(entries, now);
        if (!leads.getAsBoolean()) {
            hasLed = false;
            return;
        }
        if (!hasLed) {
            hasLed = true;
            leadsSinceNanos = now;
        }
        boolean isSettled = now - leadsSinceNanos >= LED_NANOS && now - seenSinceNanos >= STABLE_NANOS;
        if (isSettled && now - nextOrderNanos >= 0) {
            StagePlanner.next(entries).ifPresent(change -> order(change, now));
        }
    }

    private void noteEntries(Collection<BackendEntry> entries, long now) {
        Map<String, BackendEntry.Stage> seen = new HashMap<>();
        entries.forEach(entry -> seen.put(entry.id(), entry.stage()));
        if (!seen.equals(lastSeen)) {
            lastSeen = seen;
            seenSinceNanos = now;
        }
    }

    private void order(StageChange change, long now) {
        nextOrderNanos = now + PAUSE_NANOS;
        Command command = Command.newBuilder()
                .setNextFencingNumber(NextFencingNumber.newBuilder()
                        .setBackendServer(change.backendServer())
                        .setHolder(instance.value()))
                .build();
        log.apply(command).whenComplete((result, failure) -> loop.execute(() -> onNumber(change, result, failure)));
    }

    private void onNumber(StageChange change, @Nullable CommandResult result, @Nullable Throwable failure) {
        Optional<Backend> backend = table.all().stream()
                .filter(known -> known.id().equals(change.backendServer()))
                .findFirst();
        if (result == null || !result.getErrorCode().isEmpty() || backend.isEmpty() || !leads.getAsBoolean()) {
            LOG.infof("The order to %s is not given: %s", change.backendServer(), failure);
            return;
        }
        long number = result.getFencing().getFencingNumber();
        LOG.infof(
                "Backend server %s is ordered to stage %s, number %d", change.backendServer(), change.stage(), number);
        connections.send(
                backend.get(),
                dialect.changeStage(change.backendServer(), change.stage(), instance.value(), number),
                new ShortAnswer((status, body) ->
                        LOG.infof("Backend server %s answers the order with %d", change.backendServer(), status)),
                ORDER_TIMEOUT_MS);
    }
}
