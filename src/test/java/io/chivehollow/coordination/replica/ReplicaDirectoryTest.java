package io.chivehollow.coordination.replica;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against processes that never find the replicas because the seeds are no longer replicas. */
public class ReplicaDirectoryTest {

    private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final InetSocketAddress REPLICA = new InetSocketAddress("127.0.0.77", 1);

    private MultiThreadIoEventLoopGroup loops;
    private ScheduledExecutorService executor;
    private Scheduler scheduler;

    @BeforeMethod
    public void start() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        executor = Executors.newSingleThreadScheduledExecutor();
        scheduler = Scheduler.on(executor);
    }

    @AfterMethod
    public void stop() {
        executor.shutdownNow();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private ConnectionPool pool(String instance) {
        TransportOptions options = TransportOptions.of(InstanceId.of(instance), "test", SECRET);
        return ConnectionPool.create(FrameClient.create(options, loops), loops);
    }

    private static void await(String expected, ReplicaDirectory directory) throws InterruptedException {
        for (int i = 0; i < 200 && !directory.addresses().toString().contains(expected); i++) {
            Thread.sleep(25);
        }
        assertEquals(directory.addresses().toString().contains(expected), true, directory.addresses() + "");
    }

    /** Guards against a seed, not itself a replica, that does not receive the members or does not forward them. */
    @Test
    public void seedsThatAreNotReplicasForwardTheMembers() throws InterruptedException {
        TransportOptions options = TransportOptions.of(InstanceId.of("seed"), "test", SECRET);
        ReplicaDirectory[] seedDirectory = new ReplicaDirectory[1];
        FrameServer seed = FrameServer.start(
                new InetSocketAddress("127.0.0.1", 0),
                options,
                loops,
                (call, first) -> seedDirectory[0].onCall(call, first));
        int port = seed.address().getPort();
        List<InetSocketAddress> seeds = List.of(new InetSocketAddress("127.0.0.1", 5));
        try (ReplicaDirectory atSeed = ReplicaDirectory.start(seeds, OptionalInt.of(port), pool("s"), scheduler)) {
            seedDirectory[0] = atSeed;
            try (ReplicaDirectory member = ReplicaDirectory.start(seeds, OptionalInt.of(port), pool("m"), scheduler);
                    ReplicaDirectory other =
                            ReplicaDirectory.start(seeds, OptionalInt.of(port), pool("o"), scheduler)) {
                member.setLocalMembers(
                        () -> List.of(InstanceId.of(REPLICA.getAddress().getHostAddress())));
                await("127.0.0.77:" + port, member);
                await("127.0.0.77:" + port, other);
                await("127.0.0.77:" + port, atSeed);
            }
        } finally {
            seed.close();
        }
    }

    @Test
    public void addressesAreFixedWithoutAPeerPort() {
        try (ReplicaDirectory fixed =
                ReplicaDirectory.start(List.of(REPLICA), OptionalInt.empty(), pool("f"), scheduler)) {
            fixed.setSeeds(List.of(new InetSocketAddress("127.0.0.1", 9)));
            assertEquals(fixed.addresses(), List.of(REPLICA));
            assertEquals(fixed.address(InstanceId.of("127.0.0.9")).isPresent(), false);
        }
    }
}
