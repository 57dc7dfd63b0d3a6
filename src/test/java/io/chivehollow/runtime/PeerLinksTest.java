package io.chivehollow.runtime;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportOptions;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against lost votes: the first message of an election is sent on a link that has no connection yet. */
public class PeerLinksTest {

    private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
    private static final InstanceId PEER = InstanceId.of("peer");

    @Test
    public void messagesSentBeforeConnectionArriveInOrder() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (ProcessResources resources = new ProcessResources();
                FrameServer server = FrameServer.start(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        options(PEER),
                        resources.eventLoops(),
                        (call, first) -> {
                            received.add(text(first));
                            return new ServerCallListener() {
                                @Override
                                public void onFrame(Frame frame) {
                                    received.add(text(frame));
                                }
                            };
                        });
                ConnectionPool connections = ConnectionPool.create(
                        FrameClient.create(options(InstanceId.of("self")), resources.eventLoops()),
                        resources.eventLoops())) {
            PeerLinks links = PeerLinks.create(Map.of(PEER, server.address()), connections);
            for (String message : new String[] {"1", "2", "3"}) {
                links.send(PEER, message.getBytes(StandardCharsets.UTF_8));
            }
            for (String message : new String[] {"1", "2", "3"}) {
                assertEquals(received.poll(20, TimeUnit.SECONDS), message);
            }
        }
    }

    /** Timeouts that a busy machine does not reach: a connection that is not open in time discards its messages. */
    private static TransportOptions options(InstanceId instance) {
        return new TransportOptions(instance, "replica", SECRET, 60_000, 60_000, 60_000, 120_000, 1 << 20);
    }

    private static String text(Frame frame) {
        return frame.getConsensus().getPayload().toStringUtf8();
    }
}
