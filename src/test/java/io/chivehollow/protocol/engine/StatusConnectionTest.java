package io.chivehollow.protocol.engine;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
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
 * Guards against a new connection for each status call, and against failures of status calls that do not show that the
 * engine is lost.
 */
@Test(singleThreaded = true, timeOut = 60_000)
public class StatusConnectionTest {

    private static final int TIMEOUT_MS = 20_000;

    private EventLoopGroup loops;

    @BeforeClass
    public void startEventLoops() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterClass
    public void stopEventLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private HttpEngineClient client(ServerSocket server) {
        return HttpEngineClient.create(
                (InetSocketAddress) server.getLocalSocketAddress(), loops, TIMEOUT_MS, bootId -> {});
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    /** Reads one request and responds with the number of running requests. */
    private static void respond(Socket connection, int running) throws IOException {
        readRequest(connection);
        byte[] body = ("vllm:num_requests_running " + running + "\n").getBytes(StandardCharsets.US_ASCII);
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
        connection.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().write(body);
    }

    private static void readRequest(Socket connection) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            // Skips the header fields; only the end of the header matters.
        }
    }

    @Test
    public void statusCallsShareOneConnection() throws Exception {
        try (ServerSocket server = listen();
                HttpEngineClient client = client(server)) {
            CompletableFuture<EngineStatus> first = client.status();
            CompletableFuture<EngineStatus> meanwhile = client.status();
            // The first response completes the calls that have reached the event loop by then.
            loops.submit(() -> {}).syncUninterruptibly();
            try (Socket connection = server.accept()) {
                respond(connection, 1);
                assertEquals(first.get().running(), 1);
                assertEquals(meanwhile.get().running(), 1);
                CompletableFuture<EngineStatus> second = client.status();
                respond(connection, 2);
                assertEquals(second.get().running(), 2);
            }
        }
    }

    /** Guards against a status call that fails because the engine closes the idle connection while the call is sent. */
    @Test
    public void closedConnectionIsReopenedAndReported() throws Exception {
        CountDownLatch lost = new CountDownLatch(1);
        try (ServerSocket server = listen();
                HttpEngineClient client = client(server)) {
            client.setStatusConnectionLostListener(lost::countDown);
            CompletableFuture<EngineStatus> status = client.status();
            try (Socket connection = server.accept()) {
                respond(connection, 1);
                status.get();
                status = client.status();
                readRequest(connection);
            }
            try (Socket connection = server.accept()) {
                respond(connection, 2);
                assertEquals(status.get().running(), 2);
                assertEquals(lost.getCount(), 1);
            }
            lost.await();
            status = client.status();
            try (Socket connection = server.accept()) {
                readRequest(connection);
            }
            CompletableFuture<EngineStatus> failed = status;
            EngineException failure = HttpEngineClient.failureOf(expectThrows(Exception.class, failed::join));
            assertEquals(failure.code(), ErrorCode.BACKEND_FAILED);
            assertFalse(failure.isNotRun());
        }
    }

    /**
     * Guards against a restart that is not detected.
     *
     * <p>If an engine reports no boot id, its restart is detected by a refused connection, which shows that the engine
     * was down.
     */
    @Test
    public void callOnRefusedConnectionIsNotRun() throws Exception {
        ServerSocket server = listen();
        server.close();
        try (HttpEngineClient client = HttpEngineClient.create(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                loops,
                TIMEOUT_MS,
                bootId -> {})) {
            CompletableFuture<EngineStatus> status = client.status();
            assertTrue(HttpEngineClient.failureOf(expectThrows(Exception.class, status::join))
                    .isNotRun());
        }
    }
}
