package io.chivehollow.coordination.forwarding;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.CoordinationException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Guards against a document that never ends, after which the list of backend servers would not be read again. */
public class NettyHttpFetcherTest {

    /** The timeout of a fetch and as much again for a busy machine. */
    private static final long MAX_MS = 1_800;

    private MultiThreadIoEventLoopGroup loops;
    private ServerSocket server;

    @BeforeMethod
    public void start() throws IOException {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void stop() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void serve(String first, String repeated, long pauseMs) {
        Thread thread = new Thread(
                () -> {
                    try (Socket connection = server.accept()) {
                        OutputStream out = connection.getOutputStream();
                        out.write(first.getBytes(StandardCharsets.ISO_8859_1));
                        while (!repeated.isEmpty()) {
                            out.write(repeated.getBytes(StandardCharsets.ISO_8859_1));
                            Thread.sleep(pauseMs);
                        }
                    } catch (IOException | InterruptedException e) {
                        // The fetcher has closed the connection, or the test has ended.
                    }
                },
                "fake-list");
        thread.setDaemon(true);
        thread.start();
    }

    private NettyHttpFetcher fetcher() {
        return new NettyHttpFetcher(loops);
    }

    private InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    @DataProvider
    public Object[][] endlessDocuments() {
        return new Object[][] {
            {"trickling head", "HTTP/1.1 200 OK\r\nX-Field: ", "x", 100L},
            {"trickling body", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x", 100L},
            {"body without an end", "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(4_096), 0L},
            {"trickling body of no stated length", "HTTP/1.1 200 OK\r\n\r\n", "x", 100L},
            {"head without an end", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n".repeat(100), 0L},
        };
    }

    @Test(dataProvider = "endlessDocuments")
    public void endlessDocumentFailsInTime(String name, String first, String repeated, long pauseMs) {
        serve(first, repeated, pauseMs);
        long startNanos = System.nanoTime();
        expectThrows(CompletionException.class, () -> fetcher()
                .get(address(), "/")
                .orTimeout(5, TimeUnit.SECONDS)
                .join());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(tookMs < MAX_MS, name + ": " + tookMs + " ms");
    }

    @Test
    public void documentIsReturned() {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", 0);
        assertEquals(fetcher().get(address(), "/").join().status(), 200);
    }

    @DataProvider
    public Object[][] invalidStatuses() {
        return new Object[][] {{"000"}, {"099"}, {"600"}, {"1000"}};
    }

    @Test(dataProvider = "invalidStatuses")
    public void documentWithAnInvalidStatusIsRefused(String status) {
        serve("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok", "", 0);
        expectThrows(
                CompletionException.class, () -> fetcher().get(address(), "/").join());
    }

    /** One entry of another writer must not make the whole page unreadable. */
    @Test
    public void pageWithOneVeryLargeEntryIsReturned() {
        int bytes = 3 << 20;
        serve("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes), "x", 100);
        assertEquals(fetcher().get(address(), "/").join().body().length, bytes);
    }

    @Test
    public void requestThatCannotBeCreatedFailsInTime() {
        serve("", "x", 100);
        CompletionException failure = expectThrows(CompletionException.class, () -> fetcher()
                .get(address(), "/a b\r\n")
                .orTimeout(5, TimeUnit.SECONDS)
                .join());
        assertTrue(failure.getCause() instanceof CoordinationException, failure.toString());
    }
}
