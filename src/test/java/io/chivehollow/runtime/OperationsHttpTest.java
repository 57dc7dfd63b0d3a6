package io.chivehollow.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.settings.LogFormat;
import io.chivehollow.settings.ReplicaSettings;
import io.chivehollow.settings.Settings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a replica whose health and metrics cannot be read, and against clients that exhaust its memory with
 * idle connections or long requests.
 */
@Test(singleThreaded = true)
public class OperationsHttpTest {

    private static final String SECRET = "secret-of-the-deployment-for-tests";
    private static final int MAX_ATTEMPTS = 1_000;

    private final HttpClient client = HttpClient.newHttpClient();
    private Path folder;
    private ChivehollowProcess process;
    private int port;

    private void start(List<String> members) throws IOException {
        folder = Files.createTempDirectory("operations-test");
        InetSocketAddress replica;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            replica = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        process = ChivehollowProcess.start(new Settings(
                InstanceId.of("r1"),
                FailureDomain.of("d"),
                SECRET.getBytes(StandardCharsets.UTF_8),
                List.of(replica),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                LogFormat.TEXT,
                null,
                null,
                new ReplicaSettings(
                        replica,
                        folder.resolve("data"),
                        members.stream()
                                .map(member -> new ReplicaSettings.Member(member, replica))
                                .toList(),
                        100,
                        2)));
        port = process.metricsAddress().orElseThrow().getPort();
    }

    @BeforeMethod
    public void start() throws IOException {
        start(List.of("r1"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        process.close();
        try (var files = Files.walk(folder)) {
            files.sorted((left, right) -> right.compareTo(left))
                    .forEach(file -> file.toFile().delete());
        }
    }

    private HttpResponse<String> send(String method, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private String awaitBody(String path, String expected) throws Exception {
        String body = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            body = send("GET", path).body();
            if (body.contains(expected)) {
                return body;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("No \"" + expected + "\" in " + body);
    }

    @Test
    public void endpointsShowReplicaStateWithoutSecrets() throws Exception {
        assertEquals(send("GET", "/healthz").statusCode(), 200);
        awaitBody("/readyz", "ready\n");
        String metrics = awaitBody("/metrics", "chivehollow_replica_role{role=\"leader\",} 1.0");
        for (String name : List.of("term", "commit_index", "applied_index", "log_bytes", "sync_us_count")) {
            assertTrue(metrics.contains("chivehollow_replica_" + name + " "), name + " in " + metrics);
        }
        assertFalse(metrics.contains(SECRET));
        awaitCommitIndexAtLeast(value(metrics, "sync_us_count"));
        assertEquals(send("POST", "/metrics").statusCode(), 405);
        assertEquals(send("GET", "/admin/v1/state").statusCode(), 404);
    }

    /** Each counted sync must have made an entry durable; counted idle syncs would hide the durations of the others. */
    private void awaitCommitIndexAtLeast(double syncs) throws Exception {
        double committed = 0;
        for (int i = 0; i < MAX_ATTEMPTS && committed < syncs; i++) {
            committed = value(send("GET", "/metrics").body(), "commit_index");
            Thread.sleep(20);
        }
        assertTrue(committed >= syncs, syncs + " syncs for " + committed + " entries");
    }

    private static double value(String metrics, String name) {
        String start = "chivehollow_replica_" + name + " ";
        return metrics.lines()
                .filter(line -> line.startsWith(start))
                .mapToDouble(line -> Double.parseDouble(line.substring(start.length())))
                .findFirst()
                .orElseThrow();
    }

    /** A replica without a leader must not be reported as ready. */
    @Test
    public void replicaWithoutQuorumIsNotReady() throws Exception {
        stop();
        start(List.of("r1", "r2", "r3"));
        assertEquals(send("GET", "/readyz").statusCode(), 503);
        awaitBody("/metrics", "chivehollow_replica_role{role=\"leader\",} 0.0");
        assertEquals(send("GET", "/readyz").statusCode(), 503);
        assertEquals(send("GET", "/healthz").statusCode(), 200);
    }

    /** Idle connections and long requests must not use unbounded memory. */
    @Test
    public void excessConnectionsAreClosedAndLongRequestLineIsRejected() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            int closed = 0;
            for (int i = 0; i < 40; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                sockets.add(socket);
                socket.getOutputStream()
                        .write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                closed += firstByte(socket) < 0 ? 1 : 0;
            }
            assertEquals(closed, 24);
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        awaitConnectionAccepted();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String line = "GET /" + "x".repeat(5_000) + " HTTP/1.1\r\nHost: a\r\n\r\n";
            socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(response.startsWith("HTTP/1.1 400"), response);
        }
    }

    private void awaitConnectionAccepted() throws Exception {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                assertEquals(send("GET", "/healthz").statusCode(), 200);
                return;
            } catch (IOException e) {
                // The server still counts the connections that were closed above.
                Thread.sleep(20);
            }
        }
        throw new AssertionError(
                "Expected closed connections to be no longer counted, but the server accepts no new one");
    }

    private static int firstByte(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            return in.read();
        } catch (IOException e) {
            return -1;
        }
    }
}
