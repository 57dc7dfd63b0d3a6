import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A runner of a plain service, as the users' pages describe it. */
final class PlatformRunner {

    private static final int IDLE_TIMEOUT_S = 5;

    /** The list lags by this time. */
    private static final long LIST_LAG_MS = 800;

    final String service;
    final String zone;
    final String id;
    final long bornMs = System.currentTimeMillis();
    final AtomicInteger runs = new AtomicInteger();
    private final MachineRig rig;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int workMs;
    private final AtomicInteger holds = new AtomicInteger();
    private volatile boolean isLeaving;
    private volatile long leavesAtMs;
    private volatile String stage;
    private volatile String deadlyPart;
    private volatile String begunAnswer;
    private volatile Consumer<PlatformRunner> onCrash;
    private volatile boolean isStopped;
    private volatile boolean hasCrashed;

    private PlatformRunner(MachineRig rig, String service, String zone, String id, int port, int workMs) throws IOException {
        this.rig = rig;
        this.service = service;
        this.zone = zone;
        this.id = id;
        this.workMs = workMs;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(rig.address(240)), port), 128);
    }

    /** Starts a runner; port 0 selects a free one. */
    static PlatformRunner start(MachineRig rig, String service, String zone, String id, int port, int workMs) throws IOException {
        PlatformRunner runner = new PlatformRunner(rig, service, zone, id, port, workMs);
        MachineRig.daemon("runner", runner::accept);
        rig.log("runner %s of %s starts at %s:%d", id, service, rig.address(240), runner.port());
        return runner;
    }

    private boolean isListedAsDraining() {
        return isLeaving && System.currentTimeMillis() - leavesAtMs > LIST_LAG_MS;
    }

    private boolean isModel() {
        return stage != null && !stage.isEmpty();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the entry in the platform's list. */
    String entry() {
        return String.format(
                Locale.ROOT,
                "{\"id\":\"%s\",\"born\":%d,\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0%s}",
                id, bornMs, service, rig.address(240), port(), zone, isModel() ? 64 : 6, isListedAsDraining() ? "draining" : "ready",
                isModel()
                        ? ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
                        : "");
    }

    /** From now on the runner says in its answers and on the list that it leaves. */
    void leave() {
        leavesAtMs = System.currentTimeMillis();
        isLeaving = true;
        rig.log("runner %s leaves: listed as draining, answers with Server-Leaving: 1", id);
    }

    void stop() throws IOException {
        isStopped = true;
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
        rig.log("runner %s has ended", id);
    }

    private void accept() {
        while (!isStopped) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                MachineRig.daemon("runner-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_TIMEOUT_S * 1_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (MachineRig.Message request = MachineRig.Message.read(in); request != null; request = MachineRig.Message.read(in)) {
                out.write(answer(request));
                out.flush();
                if (hasCrashed) {
                    stop();
                    return;
                }
                if (isLeaving) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection, or it was idle.
        } finally {
            open.remove(socket);
        }
    }

    /** Makes the runner a model runner of the given stage, or a runner that answers with streams if it is empty. */
    PlatformRunner withStage(String newStage) {
        stage = newStage;
        return this;
    }

    /** Lets the runner end as soon as it has written the beginning of an answer to a prompt with the part. */
    PlatformRunner crashingOn(String part, String begun, Consumer<PlatformRunner> listener) {
        deadlyPart = part;
        begunAnswer = begun;
        onCrash = listener;
        return this;
    }

    /** Returns the answer to a request of a model runner, or a stream; nothing is kept beyond the answer. */
    private byte[] streamAnswer(MachineRig.Message request, String echoed) throws IOException {
        if (!stage.isEmpty() && request.firstLine.startsWith("POST /api/hold-take ")) {
            String hold = "{\"hold\":\"" + id + "-" + holds.incrementAndGet() + "\"}";
            return MachineRig.Message.response(200, "application/json", hold.getBytes(StandardCharsets.UTF_8), echoed);
        }
        if (!stage.isEmpty() && request.firstLine.startsWith("DELETE /api/")) {
            return MachineRig.Message.response(200, "application/json", "{}".getBytes(StandardCharsets.UTF_8), echoed);
        }
        if (!stage.isEmpty() && request.firstLine.startsWith("GET /api/report ")) {
            String report = "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":60000,\"handles\":0}";
            return MachineRig.Message.response(200, "application/json", report.getBytes(StandardCharsets.UTF_8), echoed);
        }
        if (!stage.isEmpty() && request.firstLine.startsWith("POST /api/order ")) {
            return MachineRig.Message.response(409, "application/json", "{}".getBytes(StandardCharsets.UTF_8), echoed);
        }
        boolean isPrefill = "prefill".equals(request.field("X-Stage"));
        if (!stage.isEmpty() && isPrefill != stage.equals("prefill")) {
            return MachineRig.Message.response(
                    421, "text/plain", new byte[0], "X-Not-Run: 1", echoed, "X-Instance: " + id);
        }
        MachineRig.sleep(workMs);
        String parts = request.field("X-Prefix-Hash");
        if (!isPrefill && deadlyPart != null && parts != null && parts.contains(deadlyPart)) {
            hasCrashed = true;
            onCrash.accept(this);
            return begunAnswer.getBytes(StandardCharsets.US_ASCII);
        }
        if (isPrefill) {
            String handle = "{\"kvHandle\":\"" + id + "x" + holds.incrementAndGet() + "\",\"tokens\":100,\"version\":1}";
            return MachineRig.Message.response(200, "application/json", handle.getBytes(StandardCharsets.UTF_8), echoed);
        }
        runs.incrementAndGet();
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= 3; i++) {
            events.append("id: ").append(i).append("\ndata: piece ").append(i).append(" of ").append(id).append("\n\n");
        }
        return MachineRig.Message.response(
                200,
                "text/event-stream",
                events.toString().getBytes(StandardCharsets.UTF_8),
                echoed,
                "X-Server-Stamp: 3e1b." + id + ".1",
                "X-Weight-Versions: 1");
    }

    private byte[] answer(MachineRig.Message request) throws IOException {
        String requestId = request.field("X-Request-Id");
        String expected = request.field("X-Expect-Instance");
        byte[] none = new byte[0];
        String leaving = isLeaving ? "Server-Leaving: 1" : "X-Instance: " + id;
        String connection = isLeaving ? "Connection: close" : "Keep-Alive: timeout=" + IDLE_TIMEOUT_S;
        String echoed = requestId == null ? "X-Instance: " + id : "X-Request-Id: " + requestId;
        if (expected != null && !expected.equals(id)) {
            return MachineRig.Message.response(
                    421, "text/plain", none, "X-Not-Run: 1", echoed, "X-Instance: " + id, leaving, connection);
        }
        if (request.firstLine.startsWith("GET /healthz ")) {
            return MachineRig.Message.response(
                    isLeaving ? 503 : 200, "text/plain", none, "X-Instance: " + id, leaving, connection, echoed);
        }
        if (stage != null) {
            return streamAnswer(request, echoed);
        }
        if (requestId == null) {
            return MachineRig.Message.response(400, "text/plain", none, "X-Not-Run: 1", leaving, connection);
        }
        runs.incrementAndGet();
        MachineRig.sleep(workMs);
        byte[] body = ("done by " + id + " " + requestId).getBytes(StandardCharsets.UTF_8);
        return MachineRig.Message.response(
                200,
                "text/plain",
                body,
                echoed,
                "X-Server-Stamp: 3e1b." + id + "." + requestId,
                "X-Instance: " + id,
                "X-Load: 1,0,6",
                leaving,
                connection);
    }
}
