import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A full runner refuses an order; when it runs the order, it first writes its refusal once more. */
final class RepeatedRefusal {

    private static final int ORDERS = 5;
    private static final int OTHERS_PER_ORDER = 60;
    private static final int SLOTS = 2;
    private static final int WORK_MS = 60;

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
              {"name":"r-order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
               "sloMs":300,"priority":2,"service":"desk","attempts":1,"public":true,"sticky":false,
               "resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private final Lab lab;
    private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Socket> refusedOn = new ConcurrentHashMap<>();
    private final Set<Socket> used = ConcurrentHashMap.newKeySet();
    private final AtomicInteger busy = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final ExecutorService pool = Executors.newCachedThreadPool();

    private RepeatedRefusal(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.play(arguments[0], lab -> new RepeatedRefusal(lab).run());
    }

    private int run() throws Exception {
        InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), this::respond);
        lab.list("i-one", "desk", address, "zone-a", "ready", "");
        Lab.Edge edge = lab.startEdges(3, 0).get(0);
        lab.begin(CONFIGURATION);
        int broken = 0;
        for (int n = 0; n < ORDERS; n++) {
            // Sound traffic, at most two at once; it leaves some kept connections.
            for (int i = 0; i < OTHERS_PER_ORDER / 2; i++) {
                pair(edge, "other-" + n + "-" + i, 0);
            }
            // Two requests fill the runner, and the order is refused at first.
            String order = "order-" + n;
            List<CompletableFuture<Lab.Response>> fillers = pair(edge, "filler-" + n, -1);
            Lab.sleep(WORK_MS - 25);
            Lab.Response response = send(edge, order);
            for (CompletableFuture<Lab.Response> filler : fillers) {
                filler.get();
            }
            Lab.sleep(300);
            int count = runs.getOrDefault(order, 0);
            boolean isTwice = count > 1;
            boolean isRefused = response.status() == 503 && count > 0;
            lab.note("client: " + order + " got status " + response.status() + "; it was refused "
                    + refusals.getOrDefault(order, 0) + " times and ran " + count + " times"
                    + (isTwice ? "   <-- TWICE" : "") + (isRefused ? "   <-- REFUSED" : ""));
            broken += isTwice || isRefused ? 1 : 0;
        }
        lab.note(extras + " of " + answers + " answers of the runner were followed by an extra one later");
        if (refusals.keySet().stream().noneMatch(id -> id.startsWith("order-"))) {
            return Lab.CANNOT_RUN;
        }
        return broken > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    private List<CompletableFuture<Lab.Response>> pair(Lab.Edge edge, String name, int wait) throws Exception {
        List<CompletableFuture<Lab.Response>> pair = new ArrayList<>();
        for (String side : List.of("-a", "-b")) {
            pair.add(CompletableFuture.supplyAsync(() -> send(edge, name + side), pool));
        }
        if (wait == 0) {
            for (CompletableFuture<Lab.Response> one : pair) {
                one.get();
            }
        }
        return pair;
    }

    private static Lab.Response send(Lab.Edge edge, String id) {
        return Lab.call(
                edge.front,
                "POST",
                "/order/1",
                "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\n",
                new byte[20],
                1_500);
    }

    private void respond(Lab.Request request, OutputStream out, Socket connection) throws IOException {
        String id = request.header("X-Request-Id");
        boolean isKept = !used.add(connection);
        if (!request.header("X-Expect-Instance").equals("i-one")) {
            Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
            return;
        }
        if (busy.incrementAndGet() > SLOTS) {
            busy.decrementAndGet();
            refusals.merge(id, 1, Integer::sum);
            refusedOn.put(id, connection);
            lab.note("runner: full, refuses " + id);
            answers.incrementAndGet();
            refuse(out, id);
            return;
        }
        runs.merge(id, 1, Integer::sum);
        if (id.startsWith("order-")) {
            lab.note("runner: runs " + id + " on " + (isKept ? "a kept" : "a new") + " connection"
                    + (refusedOn.get(id) == connection ? ", the one on which it was refused" : ""));
            if (lab.trouble && isKept && refusals.containsKey(id) && runs.get(id) == 1) {
                extras.incrementAndGet();
                lab.note("runner: writes its refusal of " + id + " once more");
                refuse(out, id);
            }
        }
        Lab.sleep(WORK_MS);
        busy.decrementAndGet();
        answers.incrementAndGet();
        Lab.writeResponse(
                out,
                200,
                "X-Request-Id: " + id + "\r\nX-Server-Stamp: i-one\r\nKeep-Alive: timeout=10\r\n",
                new byte[] {'k'});
    }

    private static void refuse(OutputStream out, String id) throws IOException {
        Lab.writeResponse(out, 503, "X-Request-Id: " + id + "\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=10\r\n", new byte[0]);
    }
}
