import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send the next requests on a connection before they have the response to the first one. */
final class Pipeline {

    private static final int CLIENTS = 60;
    private static final int DEPTH = 8;
    private static final int RUN_S = 15;
    private static final int DEADLINE_MS = 3_000;

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

    private final Lab lab;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger otherStatus = new AtomicInteger();

    private Pipeline(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.play(arguments[0], lab -> new Pipeline(lab).run());
    }

    private int run() throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (String id : List.of("i-one", "i-two")) {
            InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
                if (!request.header("X-Expect-Instance").equals(id)) {
                    Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                    return;
                }
                String requestId = request.header("X-Request-Id");
                runs.merge(requestId, 1, Integer::sum);
                Lab.sleep(java.util.concurrent.ThreadLocalRandom.current().nextInt(4));
                Lab.writeResponse(
                        out,
                        200,
                        "X-Request-Id: " + requestId + "\r\nX-Server-Stamp: " + id + "\r\n",
                        ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            });
            lab.list(id, "desk", address, "zone-a", "ready", "");
        }
        List<Lab.Edge> edges = lab.startEdges(3, 0);
        lab.begin(CONFIGURATION);
        int depth = lab.trouble ? DEPTH : 1;
        lab.note(CLIENTS + " clients, each with one connection and at most " + depth + " requests under way on it");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "client-" + i;
            clients.add(Lab.daemon(() -> client(edges.get(0), name, depth)));
        }
        for (Thread client : clients) {
            client.join();
        }
        lab.note(sent + " requests sent, " + answered + " answered with 200, " + foreign
                + " of them with the answer to another request, " + otherStatus + " with another status, "
                + unanswered + " without an answer");
        if (answered.get() == 0) {
            return Lab.CANNOT_RUN;
        }
        return foreign.get() > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    private void client(Lab.Edge edge, String name, int depth) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_S);
        for (int connection = 0; System.nanoTime() < end; connection++) {
            try (Socket socket = new Socket()) {
                socket.connect(edge.front, 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(DEADLINE_MS);
                converse(socket, name + "-" + connection, depth, end);
            } catch (IOException | InterruptedException e) {
                lab.note(name + ": " + e);
            }
        }
    }

    private void converse(Socket socket, String name, int depth, long end) throws IOException, InterruptedException {
        LinkedBlockingQueue<String> underWay = new LinkedBlockingQueue<>();
        Semaphore places = new Semaphore(depth);
        Thread writer = Lab.daemon(() -> {
            try {
                OutputStream out = socket.getOutputStream();
                for (int i = 0; System.nanoTime() < end; i++) {
                    places.acquire();
                    String id = name + "-" + i;
                    underWay.add(id);
                    sent.incrementAndGet();
                    out.write(("GET /status/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                                    + "\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    Thread.sleep(i % 3 == 0 ? 1 : 0);
                }
                underWay.add("");
            } catch (IOException | InterruptedException e) {
                underWay.add("");
            }
        });
        InputStream in = socket.getInputStream();
        try {
            for (String expected = underWay.take(); !expected.isEmpty(); expected = underWay.take()) {
                Map.Entry<Integer, String> response = read(in);
                if (response == null) {
                    unanswered.incrementAndGet();
                    lab.note("the connection of " + name + " ended without the answer to " + expected);
                    break;
                }
                if (response.getKey() != 200) {
                    otherStatus.incrementAndGet();
                    lab.note("request " + expected + ": status " + response.getKey() + " " + response.getValue());
                } else {
                    answered.incrementAndGet();
                    if (!response.getValue().equals("answer to " + expected)) {
                        foreign.incrementAndGet();
                        lab.note("request " + expected + " got 200 with \"" + response.getValue() + "\"");
                        break;
                    }
                }
                places.release();
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
            lab.note("no answer on the connection of " + name + ": " + e);
        }
        writer.interrupt();
    }

    /** Returns the status and the body, or null at the end of the connection. */
    static Map.Entry<Integer, String> read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            head = next == '\n' ? bytes.toString(StandardCharsets.ISO_8859_1) : head;
        }
        int status = Integer.parseInt(head.split(" ")[1]);
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        return Map.entry(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }
}
