package io.chivehollow.metrics;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against chunk sizes of which only the low bits are kept, so that the body of a request hides another one. */
public class OversizedChunkTest {

    private static final int LIMIT_MS = 10_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private MultiThreadIoEventLoopGroup loops;
    private OperationsServer server;

    @BeforeMethod
    public void start() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = OperationsServer.start(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                loops,
                () -> new Readiness(true, List.of()),
                ScrapeWriter.create(new MetricRegistry()),
                Runnable::run);
    }

    @AfterMethod
    public void stop() {
        server.close();
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

    private String exchange(String chunks) throws IOException {
        try (Socket caller =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            caller.setSoTimeout(LIMIT_MS);
            String text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n" + chunks
                    + "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test(dataProvider = "sizes")
    public void requestBodyHidesNoRequest(String size, String rest) throws IOException {
        String response = exchange(size + "\r\n" + rest);
        assertFalse(response.contains(" 200 "), response);
    }

    @Test
    public void requestsWithTrueSizesAreHandled() throws IOException {
        String response = exchange("a\r\n0123456789\r\n" + LAST_CHUNK);
        assertTrue(response.startsWith("HTTP/1.1 405 ") && response.contains(" 200 "), response);
    }
}
