package io.chivehollow.transport;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Propose;
import io.chivehollow.protocol.wire.Proposed;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against responses that reach the wrong call, unauthenticated peers that are served, and calls that outlive
 * their connection.
 */
public class TransportTest {

    private static final byte[] SECRET = "0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    private static final int WAIT_SECONDS = 20;
    private static final int CALL_TIMEOUT_MS = 20_000;

    private EventLoopGroup eventLoops;

    @BeforeClass
    public void startEventLoops() {
        eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }

    @AfterClass
    public void stopEventLoops() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void responsesInReverseOrderReachTheirOwnCalls() throws Exception {
        List<ServerCall> calls = new ArrayList<>();
        List<Frame> requests = new ArrayList<>();
        CallHandler handler = (call, first) -> {
            calls.add(call);
            requests.add(first);
            if (calls.size() == 3) {
                for (int i = 2; i >= 0; i--) {
                    calls.get(i).finish(echo(requests.get(i)));
                }
            }
            return ServerCallListener.none();
        };
        try (FrameServer server = start(SECRET, handler);
                ConnectionPool pool = pool(SECRET)) {
            List<CompletableFuture<Frame>> responses = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                responses.add(pool.call(server.address(), propose("request " + i), CALL_TIMEOUT_MS));
            }
            for (int i = 0; i < 3; i++) {
                Frame response = responses.get(i).get(WAIT_SECONDS, TimeUnit.SECONDS);
                assertEquals(response.getProposed().getResult().toStringUtf8(), "request " + i);
            }
        }
    }

    @Test
    public void peerWithWrongSecretIsRejected() throws Exception {
        BlockingQueue<Frame> served = new LinkedBlockingQueue<>();
        try (FrameServer server = start(SECRET, (call, first) -> {
                    served.add(first);
                    return ServerCallListener.none();
                });
                ConnectionPool pool =
                        pool("another secret, same length".getBytes(java.nio.charset.StandardCharsets.UTF_8))) {
            CompletionException failure = expectThrows(
                    CompletionException.class, () -> pool.call(server.address(), propose("x"), CALL_TIMEOUT_MS)
                            .join());
            TransportException cause = (TransportException) failure.getCause();
            assertEquals(cause.code(), ErrorCode.FORBIDDEN);
            assertTrue(cause.isNotRun());
            assertTrue(served.isEmpty());
        }
    }

    @Test
    public void frameBeforeAuthenticationIsNotServed() throws Exception {
        BlockingQueue<Frame> served = new LinkedBlockingQueue<>();
        try (FrameServer server = start(SECRET, (call, first) -> {
                    served.add(first);
                    return ServerCallListener.none();
                });
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), server.address().getPort())) {
            byte[] frame = propose("x").setCallId(1).build().toByteArray();
            byte[] message = ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .array();
            socket.getOutputStream().write(message);
            InputStream in = socket.getInputStream();
            assertEquals(in.read(), -1, "the server must close the connection");
            assertTrue(served.isEmpty());
        }
    }

    @Test
    public void lostConnectionFailsOpenCallsAndCancelsThemAtTheServer() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        CompletableFuture<Void> opened = new CompletableFuture<>();
        CallHandler handler = (call, first) -> {
            opened.complete(null);
            return new ServerCallListener() {
                @Override
                public void onCancel() {
                    cancelled.complete(null);
                }
            };
        };
        try (FrameServer server = start(SECRET, handler);
                ConnectionPool pool = pool(SECRET)) {
            CompletableFuture<Frame> response = pool.call(server.address(), propose("x"), CALL_TIMEOUT_MS);
            opened.get(WAIT_SECONDS, TimeUnit.SECONDS);
            pool.get(server.address()).join().close();
            CompletionException failure = expectThrows(CompletionException.class, response::join);
            TransportException cause = (TransportException) failure.getCause();
            assertEquals(cause.code(), ErrorCode.CONNECTION_LOST);
            assertFalse(cause.isNotRun(), "the server may have received the call");
            cancelled.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    public void handshakeWithUnresponsiveServerTimesOut() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ConnectionPool pool = pool(SECRET)) {
            InetSocketAddress address = (InetSocketAddress) unresponsive.getLocalSocketAddress();
            CompletionException failure = expectThrows(
                    CompletionException.class, () -> pool.get(address).join());
            assertTrue(((TransportException) failure.getCause()).isNotRun());
        }
    }

    @Test
    public void poolReconnectsAfterConnectionLoss() throws Exception {
        try (FrameServer server = start(SECRET, (call, first) -> {
                    call.finish(echo(first));
                    return ServerCallListener.none();
                });
                ConnectionPool pool = pool(SECRET)) {
            ClientConnection first = pool.get(server.address()).get(WAIT_SECONDS, TimeUnit.SECONDS);
            first.close();
            CompletableFuture<Void> refused = new CompletableFuture<>();
            while (first.isOpen()) {
                Thread.onSpinWait();
            }
            first.open(propose("late"), new CallListener() {
                @Override
                public void onFrame(Frame frame) {}

                @Override
                public void onFailure(TransportException failure) {
                    refused.complete(null);
                }
            });
            refused.get(WAIT_SECONDS, TimeUnit.SECONDS);
            Frame response = pool.call(server.address(), propose("again"), CALL_TIMEOUT_MS)
                    .get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals(response.getProposed().getResult().toStringUtf8(), "again");
        }
    }

    /** Guards against a gateway whose number of connections is unbounded, and against closing a connection in use. */
    @Test
    public void unusedConnectionsBeyondTheLimitAreClosed() throws Exception {
        CallHandler handler = (call, first) -> ServerCallListener.none();
        try (FrameServer exempt = start(SECRET, handler);
                FrameServer busy = start(SECRET, handler);
                FrameServer oldest = start(SECRET, handler);
                FrameServer newest = start(SECRET, handler);
                ConnectionPool pool = pool(SECRET)) {
            Set<InetSocketAddress> replicas = Set.of(exempt.address());
            List<ClientConnection> connections = new ArrayList<>();
            for (FrameServer server : List.of(exempt, busy, oldest, newest)) {
                connections.add(pool.get(server.address()).get(WAIT_SECONDS, TimeUnit.SECONDS));
            }
            CompletableFuture<Frame> open = pool.call(busy.address(), propose("x"), CALL_TIMEOUT_MS);
            pool.closeUnused(1, replicas);
            assertTrue(
                    connections.stream().allMatch(ClientConnection::isOpen),
                    "all were requested since the last cleanup");
            pool.closeUnused(2, replicas);
            while (connections.get(2).isOpen()) {
                Thread.onSpinWait();
            }
            pool.closeUnused(0, replicas);
            while (connections.get(3).isOpen()) {
                Thread.onSpinWait();
            }
            assertTrue(connections.get(0).isOpen() && connections.get(1).isOpen());
            assertFalse(open.isDone());
        }
    }

    private static Frame.Builder propose(String text) {
        return Frame.newBuilder().setPropose(Propose.newBuilder().setCommand(ByteString.copyFromUtf8(text)));
    }

    private static Frame.Builder echo(Frame request) {
        return Frame.newBuilder()
                .setProposed(
                        Proposed.newBuilder().setResult(request.getPropose().getCommand()));
    }

    private FrameServer start(byte[] secret, CallHandler handler) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return FrameServer.start(
                address, TransportOptions.of(InstanceId.of("server"), "replica", secret), eventLoops, handler);
    }

    private ConnectionPool pool(byte[] secret) {
        TransportOptions options = TransportOptions.of(InstanceId.of("client"), "gateway", secret);
        return ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops);
    }
}
