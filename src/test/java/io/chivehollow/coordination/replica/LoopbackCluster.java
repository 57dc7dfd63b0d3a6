package io.chivehollow.coordination.replica;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.config.ConfigWatcher;
import io.chivehollow.coordination.loads.LoadSchedule;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** Replicas that listen on loopback addresses, with the client and watcher of a gateway. */
final class LoopbackCluster implements AutoCloseable {

    static final InstanceId GATEWAY = InstanceId.of("gateway");
    static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8);

    /** Timeout in s for an event that must occur; far above its usual duration. */
    static final int LIMIT_S = 30;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
    private final Map<InstanceId, InetSocketAddress> addresses = new LinkedHashMap<>();
    final Scheduler scheduler = Scheduler.on(executor);
    ConnectionPool connections;
    ControlClient client;
    ConfigWatcher watcher;

    /** Runs a replica until the result is closed; a restarted replica reuses its address. */
    AutoCloseable serve(InstanceId id, ReplicatedLog log, ControlState state) {
        ReplicaService service = ReplicaService.start(
                id,
                log,
                state,
                BudgetLender.create(BudgetOptions.defaults()),
                LoadSchedule.create(2),
                (call, first) -> {
                    throw new AssertionError("Received a consensus frame, but members exchange messages in memory");
                },
                Clock.system(),
                scheduler);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        FrameServer server = FrameServer.start(
                addresses.getOrDefault(id, any), TransportOptions.of(id, "replica", SECRET), eventLoops, service);
        addresses.put(id, server.address());
        return () -> {
            server.close();
            service.close();
        };
    }

    InetSocketAddress address(InstanceId id) {
        return addresses.get(id);
    }

    void startClient() {
        TransportOptions options = TransportOptions.of(GATEWAY, "gateway", SECRET);
        List<InetSocketAddress> all = List.copyOf(addresses.values());
        connections = ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops);
        client = ControlClient.create(all, connections, Clock.system(), scheduler);
        watcher = ConfigWatcher.start(GATEWAY, all, connections, Clock.system(), scheduler);
    }

    static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(LIMIT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        watcher.close();
        connections.close();
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
