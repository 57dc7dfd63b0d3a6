package io.chivehollow.protocol.engine;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

/** Guards against interrupted responses of an engine that are taken for complete ones. */
@Test(singleThreaded = true, timeOut = 60_000)
public class InterruptedEngineResponseTest {

    private static final int TIMEOUT_MS = 20_000;
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nX-Boot-Id: boot1\r\n\r\n";

    private EventLoopGroup loops;
    private ServerSocket server;
    private HttpEngineClient client;

    @BeforeMethod
    public void start() throws IOException {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        client = HttpEngineClient.create(
                (InetSocketAddress) server.getLocalSocketAddress(), loops, TIMEOUT_MS, bootId -> {});
    }

    @AfterMethod
    public void stop() throws IOException {
        server.close();
        stopEventLoops();
    }

    private void stopEventLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private EngineCall<PlainResponse> call() {
        return client.callPlain(new PlainRequest("GET", "/", List.of(), new byte[0]));
    }

    /** Accepts a connection, reads its request and sends the text. */
    private Socket respond(String text) throws IOException {
        Socket connection = server.accept();
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            // Skips the header fields; only the end of the header matters.
        }
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return connection;
    }

    private static void assertInterrupted(CompletableFuture<?> result) {
        EngineException failure = HttpEngineClient.failureOf(expectThrows(Exception.class, result::join));
        assertEquals(failure.code(), ErrorCode.BACKEND_FAILED);
        assertFalse(failure.isNotRun());
    }

    @Test
    public void responseWithoutLengthIsNotCompletedByTheCrashOfTheEngine() throws Exception {
        EngineCall<PlainResponse> call = call();
        try (Socket connection = respond(UNFRAMED + "the first half")) {
            Thread.sleep(50);
            server.close();
        }
        assertInterrupted(call.result());
    }

    @Test
    public void responseWithoutLengthIsNotCompletedByTheEndOfTheProcess() throws Exception {
        EngineCall<PlainResponse> call = call();
        try (Socket connection = respond(UNFRAMED + "the first half")) {
            Thread.sleep(50);
            stopEventLoops();
            assertInterrupted(call.result());
        }
    }

    @Test
    public void responseWithoutLengthIsCompleteIfTheEngineGoesOn() throws Exception {
        EngineCall<PlainResponse> call = call();
        respond(UNFRAMED + "whole").close();
        respondToStatus("boot1");
        assertEquals(new String(call.result().get().body(), StandardCharsets.US_ASCII), "whole");
    }

    @Test
    public void responseWithoutLengthIsNotCompletedByARestartOfTheEngine() throws Exception {
        EngineCall<PlainResponse> call = call();
        respond(UNFRAMED + "the first half").close();
        respondToStatus("boot2");
        assertInterrupted(call.result());
    }

    @Test
    public void responseWithoutLengthAndBootIdIsNotComplete() throws Exception {
        EngineCall<PlainResponse> call = call();
        respond("HTTP/1.1 200 OK\r\n\r\nthe first half").close();
        assertInterrupted(call.result());
    }

    /** Responds to two status requests; a run may have sent the first response before it ended. */
    private void respondToStatus(String bootId) throws IOException {
        String response =
                "HTTP/1.1 200 OK\r\nX-Boot-Id: " + bootId + "\r\nConnection: close\r\n" + "Content-Length: 0\r\n\r\n";
        respond(response).close();
        respond(response).close();
    }

    @Test
    public void statusWithoutLengthIsNotCompletedByTheEndOfItsConnection() throws Exception {
        CompletableFuture<EngineStatus> status = client.status();
        respond(UNFRAMED + "vllm:num_requests_running 1\n").close();
        assertInterrupted(status);
    }

    @Test
    public void statusWithoutLengthIsNotCompletedByAReset() throws Exception {
        CompletableFuture<EngineStatus> status = client.status();
        try (Socket connection = respond(UNFRAMED + "vllm:num_requests_running 1")) {
            Thread.sleep(50);
            connection.setSoLinger(true, 0);
        }
        assertInterrupted(status);
    }

    @Test
    public void responseWithoutLengthIsNotCompletedByItsCancellation() throws Exception {
        EngineCall<PlainResponse> call = call();
        try (Socket connection = respond(UNFRAMED + "the first half")) {
            Thread.sleep(50);
            call.cancel();
            assertInterrupted(call.result());
        }
    }

    @Test
    public void interimResponseIsNotTakenForTheFinalOne() throws Exception {
        EngineCall<PlainResponse> call = call();
        try (Socket connection =
                respond("HTTP/1.1 103 Early Hints\r\n\r\n" + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal")) {
            PlainResponse response = call.result().get();
            assertEquals(response.status(), 200);
            assertEquals(new String(response.body(), StandardCharsets.US_ASCII), "final");
        }
    }

    @DataProvider
    public Object[][] unreadBytes() {
        return new Object[][] {{3_000_000, 20_000}, {3_000_000, 2_999_999}, {200, 0}, {200, 199}};
    }

    /** The engine responds without reading the whole request, closes the connection in order and goes on. */
    @Test(dataProvider = "unreadBytes")
    public void responseWithoutLengthIsNotCompleteIfTheRequestWasNotRead(int bodyBytes, int readBytes)
            throws Exception {
        EngineCall<PlainResponse> call =
                client.callPlain(new PlainRequest("POST", "/", List.of(), new byte[bodyBytes]));
        try (Socket connection = server.accept()) {
            readHead(connection);
            connection.getInputStream().readNBytes(readBytes);
            connection.getOutputStream().write((UNFRAMED + "the first half").getBytes(StandardCharsets.US_ASCII));
        }
        CompletableFuture.runAsync(() -> {
            try {
                respondToStatus("boot1");
            } catch (IOException e) {
                // The client does not ask whether the run is alive.
            }
        });
        assertInterrupted(call.result());
    }

    private static void readHead(Socket connection) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) connection.getInputStream().read());
        }
    }

    @DataProvider
    public Object[][] invalidStatuses() {
        return new Object[][] {{"000"}, {"099"}, {"600"}, {"1000"}, {"-20"}};
    }

    @Test(dataProvider = "invalidStatuses")
    public void invalidStatusIsNoResponse(String status) throws Exception {
        EngineCall<PlainResponse> call = call();
        try (Socket connection = respond("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok")) {
            assertInterrupted(call.result());
        }
    }

    @Test(dataProvider = "invalidStatuses")
    public void invalidStatusOfTheStatusCallIsNoResponse(String status) throws Exception {
        CompletableFuture<EngineStatus> result = client.status();
        try (Socket connection = respond("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok")) {
            EngineException failure = HttpEngineClient.failureOf(expectThrows(Exception.class, result::join));
            assertEquals(failure.getMessage(), "Connection to the backend server failed");
        }
    }

    /** The engine begins to respond, reads only a part of the request, and resets the connection. */
    @Test
    public void responseWithoutLengthIsNotCompletedByAFailedWrite() throws Exception {
        EngineCall<PlainResponse> call = client.callPlain(new PlainRequest("POST", "/", List.of(), new byte[16 << 20]));
        try (Socket connection = respond(UNFRAMED + "the first half")) {
            Thread.sleep(50);
            connection.setSoLinger(true, 0);
        }
        assertInterrupted(call.result());
    }
}
