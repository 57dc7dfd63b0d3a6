package io.chivehollow.coordination.forwarding;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Response;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.util.concurrent.CompletableFuture.completedFuture;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Guards against chunk sizes of which only the low bits are kept, in the backend list and in requests of operators. */
public class OversizedChunkTest {

    private static final int LIMIT_MS = 10_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final List<String> paths = new CopyOnWriteArrayList<>();
    private MultiThreadIoEventLoopGroup loops;

    @BeforeMethod
    public void start() {
        paths.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod
    public void stop() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** A size line, and what completes a body of that size if its high bits are dropped. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {"100000000", "\r\n"},
            {"10000000000000000", "\r\n"},
            {"1000000000000000a", "0123456789\r\n" + LAST_CHUNK},
        };
    }

    private String fetch(String chunks) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            var document = new NettyHttpFetcher(loops).get((InetSocketAddress) server.getLocalSocketAddress(), "/");
            try (Socket connection = server.accept()) {
                connection
                        .getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n" + chunks)
                                .getBytes(StandardCharsets.US_ASCII));
                return new String(
                        document.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS)
                                .join()
                                .body(),
                        StandardCharsets.US_ASCII);
            }
        }
    }

    @Test(dataProvider = "sizes")
    public void documentIsNotComplete(String size, String rest) {
        expectThrows(CompletionException.class, () -> fetch(size + "\r\n" + rest));
    }

    @Test
    public void documentWithTrueSizesIsComplete() throws IOException {
        assertEquals(fetch("a\r\n0123456789\r\n" + LAST_CHUNK), "[]0123456789");
    }

    private String exchange(String text) throws IOException {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        try (Endpoint endpoint =
                        Endpoint.start(address, loops, InputDelay.start(loops, System::nanoTime), 100, request -> {
                            paths.add(request.path());
                            return completedFuture(Response.empty(200));
                        });
                Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(LIMIT_MS);
            caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static String requests(String chunks) {
        return "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n" + chunks
                + "POST /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    @Test(dataProvider = "sizes")
    public void requestOfAnOperatorHidesNoRequest(String size, String rest) throws IOException {
        String response = exchange(requests(size + "\r\n" + rest));
        assertEquals(paths, List.of());
        assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 400 "), response);
    }

    @Test
    public void requestsWithTrueSizesAreHandled() throws IOException {
        exchange(requests("a\r\n0123456789\r\n" + LAST_CHUNK));
        assertEquals(paths, List.of("/first", "/hidden"));
    }
}
