package io.chivehollow.benchmark;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.SidecarStatusQuery;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ClientCall;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportException;
import io.chivehollow.transport.TransportOptions;
import io.chivehollow.transport.TransportTraffic;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Measures the cost of the connections of one gateway: bytes counted by the transport, processor time and memory.
 *
 * <p>Both sides run in this process, so processor time and memory include both. The bytes are those that one side sends
 * and receives. Arguments: numbers of connections. Used by one thread.
 */
public final class LinkBenchmark {

    private static final String DEFAULT_COUNTS = "48 128 576";
    private static final int IDLE_SECONDS = 15;

    /** The fixed heartbeat interval of former versions, in which it did not depend on the open calls. */
    private static final int FORMER_HEARTBEAT_MS = 500;

    private static final byte[] SECRET = "secret-of-the-link-benchmark".getBytes(StandardCharsets.UTF_8);

    private LinkBenchmark() {}

    /** Runs all measurements and prints them. */
    public static void main(String[] args) throws Exception {
        TransportOptions options = TransportOptions.of(InstanceId.of("benchmark"), "benchmark", SECRET);
        TransportOptions formerOptions = new TransportOptions(
                options.instance(),
                options.role(),
                SECRET,
                options.connectTimeoutMs(),
                FORMER_HEARTBEAT_MS,
                FORMER_HEARTBEAT_MS,
                options.peerTimeoutMs(),
                options.maxFrameBytes());
        for (String count : args.length == 0 ? DEFAULT_COUNTS.split(" ") : args) {
            measure("at rest, heartbeat 500 ms", formerOptions, Integer.parseInt(count), false);
            measure("at rest", options, Integer.parseInt(count), false);
            measure("a call open on each", options, Integer.parseInt(count), true);
        }
        // The event loops of closed groups may continue to run for a second.
        System.exit(0);
    }

    private static void measure(String name, TransportOptions options, int count, boolean hasCalls) throws Exception {
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        List<FrameServer> servers = new ArrayList<>();
        List<ClientCall> calls = new ArrayList<>();
        try (ConnectionPool pool = ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops)) {
            long emptyBytes = usedHeapBytes();
            for (int i = 0; i < count; i++) {
                InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
                FrameServer server = FrameServer.start(any, options, eventLoops, (call, first) -> noServerListener());
                servers.add(server);
                var connection = pool.get(server.address()).get(10, TimeUnit.SECONDS);
                if (hasCalls) {
                    calls.add(connection.open(
                            Frame.newBuilder().setSidecarStatusQuery(SidecarStatusQuery.getDefaultInstance()),
                            ignoringListener()));
                }
            }
            TimeUnit.SECONDS.sleep(6);
            long heapBytes = usedHeapBytes() - emptyBytes;
            ProcessUsage before = ProcessUsage.read(ProcessHandle.current().pid());
            long sentBefore = TransportTraffic.sentBytes();
            TimeUnit.SECONDS.sleep(IDLE_SECONDS);
            long sent = TransportTraffic.sentBytes() - sentBefore;
            ProcessUsage after = ProcessUsage.read(ProcessHandle.current().pid());
            System.out.printf(
                    "%d connections, %s: %.0f bytes/s sent and received by one side, %.2f%% of a core and"
                            + " %d KB of heap for both sides, %d calls%n",
                    count,
                    name,
                    (double) sent / IDLE_SECONDS,
                    (after.cpuMs() - before.cpuMs()) / (IDLE_SECONDS * 10.0),
                    heapBytes / 1024,
                    calls.size());
        }
        servers.forEach(FrameServer::close);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static ServerCallListener noServerListener() {
        return ServerCallListener.none();
    }

    private static CallListener ignoringListener() {
        return new CallListener() {
            @Override
            public void onFrame(Frame frame) {}

            @Override
            public void onFailure(TransportException failure) {
                // Expected: the connections are closed at the end of the measurement.
            }
        };
    }
}
