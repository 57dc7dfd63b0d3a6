import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine is frozen for a moment while clients that do not wait for their first response send further requests. */
final class FrozenPipeline {

    private static final int CLIENTS = 8;
    private static final int ROUNDS = 3;
    private static final int WORK_MS = 100;
    private static final int FREEZE_MS = 700;
    private static final String BODY = "begin-of-body middle-of-body end-of-body";

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
              {"name":"r-status","host":"shop.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":3000,
               "sloMs":300,"priority":2,"service":"desk","attempts":2,"public":true,"sticky":false,
               "resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private FrozenPipeline() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], FrozenPipeline::run);
    }

    private static int run(Lab lab) throws Exception {
        AtomicInteger changed = new AtomicInteger();
        for (String id : List.of("i-one", "i-two")) {
            InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
                if (!request.header("X-Expect-Instance").equals(id)) {
                    Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                    return;
                }
                String requestId = request.header("X-Request-Id");
                String body = new String(request.body(), StandardCharsets.UTF_8);
                lab.note("runner " + id + " runs " + requestId + (body.isEmpty() ? "" : " with the body " + body));
                if (requestId.endsWith("-request-body") && !body.equals(BODY)) {
                    changed.incrementAndGet();
                }
                Lab.sleep(WORK_MS);
                Lab.writeResponse(
                        out,
                        200,
                        "X-Request-Id: " + requestId + "\r\nX-Server-Stamp: " + id + "\r\n",
                        ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            });
            lab.list(id, "desk", address, "zone-a", "ready", "");
        }
        Lab.Edge edge = lab.startEdges(3, 0).get(0);
        lab.begin(CONFIGURATION);
        int foreign = 0;
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket();
                socket.connect(edge.front, 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(3_000);
                sockets.add(socket);
            }
            List<Socket> withBody = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket();
                socket.connect(edge.front, 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(3_000);
                withBody.add(socket);
            }
            send(sockets, round, 1);
            send(sockets, round, 2);
            for (int i = 0; i < CLIENTS; i++) {
                write(withBody.get(i), get(id(round, i, 0)));
                write(withBody.get(i), "POST /status/body HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: round-" + round
                        + "-client-" + i + "-request-body\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + BODY.length()
                        + "\r\n\r\n" + BODY.substring(0, 14));
            }
            Lab.sleep(WORK_MS / 2);
            if (lab.trouble) {
                Lab.signal(edge.process, "STOP");
                lab.note("machine " + edge.ip + " is frozen; the runners answer the first requests meanwhile");
            }
            Lab.sleep(WORK_MS + 100);
            send(sockets, round, 3);
            for (Socket socket : withBody) {
                write(socket, BODY.substring(14, 29));
            }
            if (lab.trouble) {
                Lab.sleep(FREEZE_MS - WORK_MS - 100);
                Lab.signal(edge.process, "CONT");
                lab.note("machine " + edge.ip + " wakes");
            }
            Lab.sleep(100);
            for (Socket socket : withBody) {
                write(socket, BODY.substring(29));
            }
            for (int i = 0; i < CLIENTS; i++) {
                for (int n = 1; n <= 3; n++) {
                    String expected = id(round, i, n);
                    Map.Entry<Integer, String> response = Pipeline.read(sockets.get(i).getInputStream());
                    String seen = response == null ? "no answer" : response.getKey() + " " + response.getValue();
                    boolean isForeign = response != null
                            && response.getKey() == 200
                            && !response.getValue().equals("answer to " + expected);
                    lab.note("request " + expected + " got " + seen + (isForeign ? "   <-- of another request" : ""));
                    answered += response != null && response.getKey() == 200 ? 1 : 0;
                    foreign += isForeign ? 1 : 0;
                }
                sockets.get(i).close();
            }
            Lab.sleep(500);
            for (Socket socket : withBody) {
                socket.close();
            }
        }
        lab.note(answered + " answers with 200, " + foreign + " of them belong to another request");
        if (answered < ROUNDS * CLIENTS) {
            return Lab.CANNOT_RUN;
        }
        lab.note(changed + " of " + ROUNDS * CLIENTS + " requests with a body ran with a body that no client sent");
        return foreign + changed.get() > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    private static String id(int round, int client, int number) {
        return "round-" + round + "-client-" + client + "-request-" + number;
    }

    private static void send(List<Socket> sockets, int round, int number) throws IOException {
        for (int i = 0; i < sockets.size(); i++) {
            write(sockets.get(i), get(id(round, i, number)));
        }
    }

    private static String get(String id) {
        return "GET /status/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
