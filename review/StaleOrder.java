import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An order of the operator waits at a frozen machine. The operator gets it acknowledged by another machine, and
 * evacuates the zone again. Then the frozen machine wakes.
 */
final class StaleOrder {

    private static final int EVACUATION_MS = 5_000;
    private static final int CONTACT_MS = 3_000;
    private static final int RESEND_MS = 4_000;

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[{"name":"r-status","host":"shop.example","pathPrefix":"/status/",
              "kind":"idempotent","timeoutMs":1500,"sloMs":300,"priority":2,"service":"desk","attempts":2,
              "public":true,"sticky":false,"resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private StaleOrder() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], StaleOrder::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (String zone : List.of("zone-a", "zone-b")) {
            String id = "runner-" + zone;
            InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
                String requestId = request.header("X-Request-Id");
                if (!request.header("X-Expect-Instance").equals(id)) {
                    Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                    return;
                }
                runs.put(requestId, zone);
                Lab.writeResponse(
                        out, 200, "X-Request-Id: " + requestId + "\r\nX-Server-Stamp: " + id + "\r\n", new byte[] {'k'});
            });
            lab.list(id, "desk", address, zone, "ready", "");
        }
        List<Lab.Edge> edges = lab.startEdges(3, 1);
        Lab.Edge other = edges.get(3);
        lab.begin(CONFIGURATION);
        send(lab, runs, edges.get(0), "before", 10);

        if (!lab.order("/api/Drain.Begin/zone-a", "", edges.get(0), edges.get(1))) {
            return Lab.CANNOT_RUN;
        }
        Lab.sleep(2_000);
        if (lab.trouble) {
            Lab.signal(other.process, "STOP");
            lab.note("machine " + other.ip + ", which has no disk, is frozen");
        }
        // The list from which the operator picks lags, so it picks the frozen machine first.
        if (!lab.order("/api/Drain.Finish/zone-a", "", other, edges.get(1))) {
            return Lab.CANNOT_RUN;
        }
        // Longer than the time for which the operator may send the order again.
        Lab.sleep(RESEND_MS);
        if (!lab.order("/api/Drain.Begin/zone-a", "", edges.get(2), edges.get(0))) {
            return Lab.CANNOT_RUN;
        }
        double acknowledged = lab.seconds();
        Lab.sleep(500);
        if (lab.trouble) {
            Lab.signal(other.process, "CONT");
            lab.note("machine " + other.ip + " wakes");
        }
        Lab.sleep(Math.max(EVACUATION_MS, CONTACT_MS) + 1_000);
        lab.note(String.format(
                "the zone was evacuated %.1f s ago and was not taken back since", lab.seconds() - acknowledged));
        int broken = 0;
        for (Lab.Edge edge : edges.subList(0, 3)) {
            broken += send(lab, runs, edge, "after-" + edge.ip, 10);
        }
        return broken > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    /** Sends requests and returns how many of them reached the runner in zone-a. */
    private static int send(Lab lab, Map<String, String> runs, Lab.Edge edge, String name, int count) {
        int inZone = 0;
        int answered = 0;
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            Lab.Response response = Lab.call(
                    edge.front,
                    "GET",
                    "/status/1",
                    "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\n",
                    new byte[0],
                    1_500);
            answered += response.status() == 200 ? 1 : 0;
            inZone += "zone-a".equals(runs.get(id)) ? 1 : 0;
        }
        lab.note(count + " requests to " + edge.ip + ": " + answered + " answered with 200, " + inZone
                + " reached the runner in zone-a");
        return inZone;
    }
}
