package io.chivehollow.coordination.forwarding.stage;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;

import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendTable;
import io.chivehollow.coordination.forwarding.backend.ShortResponse;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.NextFencingNumber;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Sends the role changes that the planner requests to backend servers.
 *
 * <p>Invariants: only the instance that leads the replicas sends commands, and only after it has led for longer than a
 * command of an earlier leader can be in flight. Each command carries a fencing number from the replicated log that is
 * higher than those of all earlier commands to the same server. A server gets no further command while an earlier one
 * may still be carried out. Used on the event loop of the forwarding role.
 */
public final class RoleChangeSender {

    /**
     * Time for which an instance must have led; commands of an earlier leader are valid for 3 s in the users' two
     * installations.
     */
    private static final long MIN_LEADERSHIP_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Time for which the servers in the list and their roles must have been unchanged, so that no change is decided
     * from an incomplete list while a system starts.
     */
    private static final long MIN_STABLE_LIST_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time for which a server counts as changing its role after a command. It serves requests again 6 s after a role
     * change, and the list is updated with a delay; a command without a response may still take effect 12 s later.
     */
    private static final long COMMAND_VALID_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Servers accept a command at once; a command without a response may still be carried out. */
    private static final int COMMAND_TIMEOUT_MS = 1_000;

    private static final int CHECK_PERIOD_MS = 500;
    private static final Logger LOG = Logger.getLogger(RoleChangeSender.class);

    private final InstanceId instance;
    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final BooleanSupplier isLeader;
    private final Function<Command, CompletableFuture<CommandResult>> proposer;
    private final Dialect dialect;
    private final BackendTable table;
    private final BackendConnections connections;
    private final ToDoubleFunction<String> decodePerPrefill;
    private Map<String, BackendEntry.Role> lastRoles = Map.of();
    private long rolesStableSinceNanos;
    private long leaderSinceNanos;
    private boolean wasLeader;
    private final Map<String, Long> commandNanos = new HashMap<>();

    private RoleChangeSender(
            InstanceId instance,
            EventLoop loop,
            LongSupplier nanoTime,
            BooleanSupplier isLeader,
            Function<Command, CompletableFuture<CommandResult>> proposer,
            Dialect dialect,
            BackendTable table,
            BackendConnections connections,
            ToDoubleFunction<String> decodePerPrefill) {
        this.instance = instance;
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.isLeader = isLeader;
        this.proposer = proposer;
        this.dialect = dialect;
        this.table = table;
        this.connections = connections;
        this.decodePerPrefill = decodePerPrefill;
    }

    /**
     * Starts to check periodically whether role changes are needed.
     *
     * @param instance this instance, which the commands name as their holder
     * @param loop event loop of the forwarding role
     * @param nanoTime monotonic clock in nanoseconds
     * @param isLeader whether this instance leads the replicas
     * @param proposer proposes a command to the replicated log
     * @param dialect translates the commands to backend servers
     * @param table the backend servers
     * @param connections connections to the backend servers
     * @param decodePerPrefill decode servers that one prefill server of a service keeps busy, 0 if not known
     */
    public static void start(
            InstanceId instance,
            EventLoop loop,
            LongSupplier nanoTime,
            BooleanSupplier isLeader,
            Function<Command, CompletableFuture<CommandResult>> proposer,
            Dialect dialect,
            BackendTable table,
            BackendConnections connections,
            ToDoubleFunction<String> decodePerPrefill) {
        RoleChangeSender sender = new RoleChangeSender(
                instance, loop, nanoTime, isLeader, proposer, dialect, table, connections, decodePerPrefill);
        loop.scheduleWithFixedDelay(sender::checkRoles, CHECK_PERIOD_MS, CHECK_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void checkRoles() {
        long now = nanoTime.getAsLong();
        List<BackendEntry> entries = table.all().stream().map(Backend::entry).toList();
        recordRoles(entries, now);
        if (!isLeader.getAsBoolean()) {
            wasLeader = false;
            return;
        }
        if (!wasLeader) {
            wasLeader = true;
            leaderSinceNanos = now;
        }
        boolean isSettled =
                now - leaderSinceNanos >= MIN_LEADERSHIP_NANOS && now - rolesStableSinceNanos >= MIN_STABLE_LIST_NANOS;
        commandNanos.values().removeIf(sentNanos -> now - sentNanos >= COMMAND_VALID_NANOS);
        if (isSettled) {
            List<BackendEntry> usable = table.all().stream()
                    .filter(Backend::isUsable)
                    .map(Backend::entry)
                    .toList();
            Set<String> unavailable = new HashSet<>(commandNanos.keySet());
            table.all().stream()
                    .filter(backend -> !backend.mayReceive(now))
                    .map(Backend::id)
                    .forEach(unavailable::add);
            RolePlanner.next(usable, unavailable, decodePerPrefill)
                    .forEach(change -> requestFencingNumber(change, now));
        }
    }

    private void recordRoles(Collection<BackendEntry> entries, long now) {
        Map<String, BackendEntry.Role> roles = new HashMap<>();
        entries.forEach(entry -> roles.put(entry.id(), entry.role()));
        if (!roles.equals(lastRoles)) {
            lastRoles = roles;
            rolesStableSinceNanos = now;
        }
    }

    private void requestFencingNumber(RoleChange change, long now) {
        commandNanos.put(change.backendServer(), now);
        Command command = Command.newBuilder()
                .setNextFencingNumber(NextFencingNumber.newBuilder()
                        .setBackendServer(change.backendServer())
                        .setHolder(instance.value()))
                .build();
        proposer.apply(command)
                .whenComplete((result, failure) -> loop.execute(() -> sendCommand(change, result, failure)));
    }

    private void sendCommand(RoleChange change, @Nullable CommandResult result, @Nullable Throwable failure) {
        Optional<Backend> backend = table.all().stream()
                .filter(listed -> listed.id().equals(change.backendServer()) && listed.mayReceive(nanoTime.getAsLong()))
                .findFirst();
        if (result == null || !result.getErrorCode().isEmpty() || backend.isEmpty() || !isLeader.getAsBoolean()) {
            LOG.infof(
                    "Backend server %s gets no role change (no fencing number, not usable or not leader): %s",
                    change.backendServer(), failure);
            return;
        }
        long number = result.getFencing().getFencingNumber();
        LOG.infof(
                "Backend server %s gets the command to change its role to %s, fencing number %d",
                change.backendServer(), change.role(), number);
        connections.sendOwn(
                backend.get(),
                dialect.changeRole(change.backendServer(), change.role(), instance.value(), number),
                ShortResponse.of(
                        backend.get(),
                        dialect,
                        nanoTime,
                        (status, body) -> LOG.infof(
                                "Backend server %s responded to the role change with status %d",
                                change.backendServer(), status)),
                COMMAND_TIMEOUT_MS);
    }
}
