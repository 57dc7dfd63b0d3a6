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
import static org.testng.Assert.expectThrows;

/** Guards against chunk sizes of an engine of which only the low bits are kept, so that a part counts as the whole. */
@Test(singleThreaded = true, timeOut = 60_000)
public class OversizedChunkTest {

    private static final int TIMEOUT_MS = 5_000;
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PART = "vllm:num_requests_running 1\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

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
        client.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A size line, and what completes a body of that size if its high bits are dropped. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {"100000000", "\r\n"},
            {"10000000000000000", "\r\n"},
            {"1000000000000000a", "# comment\n\r\n" + LAST_CHUNK},
        };
    }

    private static String response(String rest) {
        return CHUNKED + Integer.toHexString(PART.length()) + "\r\n" + PART + "\r\n" + rest;
    }

    /** Accepts a connection, reads its request and sends the text; the connection stays open. */
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

    private CompletableFuture<PlainResponse> call() {
        return client.callPlain(new PlainRequest("GET", "/", List.of(), new byte[0]))
                .result();
    }

    private static void assertBroken(CompletableFuture<?> result) {
        EngineException failure = HttpEngineClient.failureOf(expectThrows(Exception.class, result::join));
        assertEquals(failure.code(), ErrorCode.BACKEND_FAILED);
    }

    @Test(dataProvider = "sizes")
    public void responseIsNotComplete(String size, String rest) throws Exception {
        CompletableFuture<PlainResponse> call = call();
        try (Socket connection = respond(response(size + "\r\n" + rest))) {
            assertBroken(call);
        }
    }

    @Test(dataProvider = "sizes")
    public void statusIsNotComplete(String size, String rest) throws Exception {
        CompletableFuture<EngineStatus> status = client.status();
        try (Socket connection = respond(response(size + "\r\n" + rest))) {
            assertBroken(status);
        }
    }

    @Test
    public void responsesWithTrueSizesAreComplete() throws Exception {
        String chunks = response("a\r\n# comment\n\r\n" + LAST_CHUNK);
        CompletableFuture<PlainResponse> call = call();
        try (Socket connection = respond(chunks)) {
            assertEquals(new String(call.get().body(), StandardCharsets.US_ASCII), PART + "# comment\n");
        }
        CompletableFuture<EngineStatus> status = client.status();
        try (Socket connection = respond(chunks)) {
            assertEquals(status.get().running(), 1);
        }
    }
}
