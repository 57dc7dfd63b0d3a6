package io.chivehollow.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.state.consensus.ReplicatedLogConfig;
import io.chivehollow.state.consensus.ReplicatedLogs;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * A consensus group whose members all run in this process, with real files and loopback connections.
 *
 * <p>Used by one thread.
 */
final class LocalConsensusGroup implements AutoCloseable {

    private static final byte[] SECRET = "benchmark secret 0123456789".getBytes(StandardCharsets.UTF_8);

    private final Path folder;
    private final int snapshotEntries;
    private final List<InstanceId> instances = new ArrayList<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<InstanceId, ConsensusMember> members = new ConcurrentHashMap<>();
    private final List<CountingPeerTransport> transports = new ArrayList<>();
    private final List<FrameServer> servers = new ArrayList<>();
    private final List<ConnectionPool> pools = new ArrayList<>();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

    LocalConsensusGroup(int size, Path folder, int snapshotEntries) {
        this.folder = folder;
        this.snapshotEntries = snapshotEntries;
        for (int i = 0; i < size; i++) {
            instances.add(InstanceId.of("m" + i));
        }
        for (InstanceId instance : instances) {
            TransportOptions options = TransportOptions.of(instance, "replica", SECRET);
            FrameServer server = FrameServer.start(
                    new InetSocketAddress("127.0.0.1", 0), options, eventLoops, new Receiver(instance));
            servers.add(server);
            addresses.put(instance, server.address());
            ConnectionPool pool = ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops);
            pools.add(pool);
        }
        // The links copy the addresses, so they are created after all servers have started to listen.
        pools.forEach(pool -> transports.add(new CountingPeerTransport(pool, addresses)));
        instances.forEach(this::start);
    }

    void start(InstanceId instance) {
        ReplicatedLogConfig config = ReplicatedLogConfig.of(
                        instance,
                        instances,
                        folder.resolve(instance.value()),
                        new TableStateMachine(),
                        transports.get(instances.indexOf(instance)),
                        Scheduler.on(executor),
                        Throwable::printStackTrace)
                .withSnapshotEntries(snapshotEntries);
        members.put(instance, ReplicatedLogs.open(config));
    }

    /**
     * Disconnects a member from the group, as if its instance were lost, and returns its instance. The caller must
     * close the member.
     */
    InstanceId isolate(ConsensusMember member) {
        for (Map.Entry<InstanceId, ConsensusMember> entry : members.entrySet()) {
            if (entry.getValue() == member) {
                members.remove(entry.getKey());
                return entry.getKey();
            }
        }
        throw new IllegalArgumentException("Expected a member of the running group, but the given member is not one");
    }

    ConsensusMember awaitLeader() throws InterruptedException {
        while (true) {
            for (ConsensusMember member : members.values()) {
                if (member.holdsLease()) {
                    return member;
                }
            }
            Thread.sleep(1);
        }
    }

    /** Waits until all members are voters and have received all committed entries. */
    void awaitReplicated() throws InterruptedException {
        while (true) {
            var status = awaitLeader().status();
            boolean isComplete = status.members().size() == instances.size()
                    && status.members().stream()
                            .allMatch(member -> member.isVoter() && member.matchIndex() >= status.commitIndex());
            if (isComplete) {
                return;
            }
            Thread.sleep(10);
        }
    }

    long sentBytes() {
        return transports.stream().mapToLong(CountingPeerTransport::sentBytes).sum();
    }

    @Override
    public void close() throws IOException {
        members.values().forEach(ConsensusMember::close);
        pools.forEach(ConnectionPool::close);
        servers.forEach(FrameServer::close);
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Passes received messages to the member. */
    private final class Receiver implements CallHandler {
        private final InstanceId self;

        Receiver(InstanceId self) {
            this.self = self;
        }

        @Override
        public ServerCallListener onCall(ServerCall call, Frame first) {
            return new ServerCallListener() {
                @Override
                public void onFrame(Frame frame) {
                    ConsensusMember member = members.get(self);
                    if (member != null && members.containsKey(call.peer()) && frame.hasConsensus()) {
                        member.receive(
                                call.peer(), frame.getConsensus().getPayload().toByteArray());
                    }
                }
            };
        }
    }
}
