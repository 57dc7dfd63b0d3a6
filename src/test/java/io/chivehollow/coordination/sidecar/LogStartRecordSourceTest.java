package io.chivehollow.coordination.sidecar;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.FencingResult;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Proposed;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a start record whose log index or fencing number is not that of the sidecar's own command. */
public class LogStartRecordSourceTest {

    @Test
    public void indexAndNumberComeFromTheSidecarsOwnCommand() {
        byte[] secret = "a deployment secret for tests".getBytes(StandardCharsets.UTF_8);
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        TransportOptions options = TransportOptions.of(InstanceId.of("i"), "test", secret);
        AtomicReference<Command> seen = new AtomicReference<>();
        try (FrameServer replica =
                        FrameServer.start(new InetSocketAddress("127.0.0.1", 0), options, eventLoops, (call, first) -> {
                            seen.set(parse(first));
                            CommandResult result = CommandResult.newBuilder()
                                    .setIndex(77)
                                    .setFencing(FencingResult.newBuilder().setFencingNumber(5))
                                    .build();
                            call.finish(Frame.newBuilder()
                                    .setProposed(
                                            Proposed.newBuilder().setIndex(77).setResult(result.toByteString())));
                            return ServerCallListener.none();
                        });
                ConnectionPool connections =
                        ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops)) {
            ControlClient control = ControlClient.create(
                    List.of(replica.address()), connections, Clock.system(), Scheduler.on(eventLoops.next()));
            LogStartRecordSource source =
                    LogStartRecordSource.create(control, BackendServerId.of("server-1"), InstanceId.of("sidecar-1"));

            assertEquals(source.read().join(), new StartRecord(77, 5));
            assertEquals(seen.get().getNextFencingNumber().getBackendServer(), "server-1");
        } finally {
            eventLoops.shutdownGracefully();
        }
    }

    private static Command parse(Frame frame) {
        try {
            return Command.parseFrom(frame.getPropose().getCommand());
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
