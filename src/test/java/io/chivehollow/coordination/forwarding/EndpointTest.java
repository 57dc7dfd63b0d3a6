package io.chivehollow.coordination.forwarding;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Caller;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Response;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static java.util.concurrent.CompletableFuture.completedFuture;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/** Guards against a request that counts as current although its caller has stopped waiting for the response. */
public class EndpointTest {

    private static final int LIMIT_S = 10;

    private final BlockingQueue<Caller> callers = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup loops;
    private InetSocketAddress address;
    private Endpoint endpoint;

    @BeforeMethod
    public void start() throws IOException {
        callers.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        endpoint = Endpoint.start(address, loops, InputDelay.start(loops, System::nanoTime), 100, request -> {
            callers.add(request.caller());
            return completedFuture(Response.empty(200));
        });
    }

    @AfterMethod
    public void stop() {
        endpoint.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Socket send() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.getOutputStream()
                .write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void stopEventLoop(long timeMs) {
        loops.execute(() -> {
            try {
                Thread.sleep(timeMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private Caller nextCaller() throws InterruptedException {
        Caller caller = callers.poll(LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(caller);
        return caller;
    }

    private static boolean isWaiting(Caller caller) throws Exception {
        return caller.isWaiting().get(LIMIT_S, TimeUnit.SECONDS);
    }

    @Test
    public void callerOfARequestThatIsReadAtOnceWaits() throws Exception {
        try (Socket socket = send()) {
            assertTrue(isWaiting(nextCaller()));
        }
    }

    @Test
    public void callerThatClosedWhileTheProcessStoodStillDoesNotWait() throws Exception {
        stopEventLoop(300);
        send().close();
        assertFalse(isWaiting(nextCaller()));
    }

    /** The connection shows nothing if the caller leaves it open, or if its end is lost on the way. */
    @Test
    public void callerOfARequestThatWasUnreadForLongerThanCallersWaitDoesNotWait() throws Exception {
        // Two ticks, so that the stall does not begin before the first one.
        Thread.sleep(600);
        stopEventLoop(1_200);
        try (Socket socket = send()) {
            assertFalse(isWaiting(nextCaller()));
        }
    }

    @Test
    public void callerOfARequestThatTakesTooLongDoesNotWait() throws Exception {
        try (Socket socket = send()) {
            Caller caller = nextCaller();
            Thread.sleep(1_050);
            assertFalse(isWaiting(caller));
        }
    }
}
