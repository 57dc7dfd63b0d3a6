import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Another writer puts an entry into the platform's list whose bytes cannot be read; then a runner drains. */
final class UnreadableEntry {

    private static final int LIST_LAG_MS = 800;
    private static final int DRAIN_MS = 3_000;

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
              {"name":"r-order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
               "sloMs":300,"priority":2,"service":"desk","attempts":1,"public":true,"sticky":false,
               "resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private UnreadableEntry() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], UnreadableEntry::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
        for (String id : List.of("i-one", "i-two")) {
            InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
                if (!request.header("X-Expect-Instance").equals(id)) {
                    Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                    return;
                }
                String requestId = request.header("X-Request-Id");
                runs.put(requestId, id);
                Lab.writeResponse(
                        out, 200, "X-Request-Id: " + requestId + "\r\nX-Server-Stamp: " + id + "\r\n", new byte[] {'k'});
            });
            addresses.put(id, address);
            lab.list(id, "desk", address, "zone-a", "ready", "");
        }
        Lab.Edge[] edges = lab.startEdges(3, 0).toArray(Lab.Edge[]::new);
        lab.begin(CONFIGURATION);
        if (send(lab, runs, edges, "before") == 0) {
            return Lab.CANNOT_RUN;
        }
        if (lab.trouble) {
            lab.listRaw("i-foreign", "{\"id\":\"i-foreign\",\"service\":\"des");
            lab.note("the list has an entry of another writer that breaks off");
        }
        Lab.sleep(3_000);
        lab.list("i-one", "desk", addresses.get("i-one"), "zone-a", "draining", "");
        lab.note("the list shows runner i-one as draining");
        Lab.sleep(DRAIN_MS + 1_000);
        return send(lab, runs, edges, "after") > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    /** Sends ten requests to each machine; returns how many of them reached runner i-one. */
    private static int send(Lab lab, Map<String, String> runs, Lab.Edge[] edges, String name) {
        int count = 0;
        for (Lab.Edge edge : edges) {
            int here = 0;
            int answered = 0;
            for (int i = 0; i < 10; i++) {
                String id = name + "-" + edge.ip + "-" + i;
                Lab.Response response = Lab.call(
                        edge.front,
                        "POST",
                        "/order/1",
                        "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\n",
                        new byte[10],
                        1_500);
                answered += response.status() == 200 ? 1 : 0;
                here += "i-one".equals(runs.get(id)) ? 1 : 0;
            }
            lab.note("10 requests to " + edge.ip + ": " + answered + " answered with 200, " + here
                    + " reached runner i-one");
            count += here;
        }
        return count;
    }
}
