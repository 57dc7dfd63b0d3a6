import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes the last API key away; the tenants of the configuration stay. */
final class LastKey {

    private static final int REVOKE_MS = 5_000;

    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
              {"name":"r-order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
               "sloMs":300,"priority":2,"service":"desk","attempts":1,"public":false,"sticky":false,
               "resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[{"name":"red","apiKeys":[%s],"priority":1,"unit":"tokens","plainTokens":200,
              "ratePerS":47000,"burst":47000}]}""";

    private LastKey() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], LastKey::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
            if (!request.header("X-Expect-Instance").equals("i-one")) {
                Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                return;
            }
            String id = request.header("X-Request-Id");
            runs.put(id, request.header("X-Tenant"));
            Lab.writeResponse(out, 200, "X-Request-Id: " + id + "\r\nX-Server-Stamp: i-one\r\n", new byte[] {'k'});
        });
        lab.list("i-one", "desk", address, "zone-a", "ready", "");
        Lab.Edge[] edges = lab.startEdges(3, 0).toArray(Lab.Edge[]::new);
        lab.begin(String.format(CONFIGURATION, 7, "\"key-one\",\"key-two\""));
        if (send(lab, runs, edges, "key-one", "before") != 9) {
            return Lab.CANNOT_RUN;
        }
        String left = lab.trouble ? "" : "\"key-two\"";
        if (!lab.order("/api/Config.Put", String.format(CONFIGURATION, 9, left), edges)) {
            return Lab.CANNOT_RUN;
        }
        double acknowledged = lab.seconds();
        lab.note("version 9 is acknowledged; it holds the tenant with " + (lab.trouble ? "no key" : "key-two only"));
        Lab.sleep(REVOKE_MS + 1_000);
        lab.note(String.format("%.1f s after the acknowledgement:", lab.seconds() - acknowledged));
        int broken = send(lab, runs, edges, "key-one", "revoked");
        broken += send(lab, runs, edges, "never-in-any-configuration", "unknown");
        return broken > 0 ? Lab.BROKEN : Lab.PASSED;
    }

    /** Sends three requests with the key to each machine; returns how many of them a runner ran. */
    private static int send(Lab lab, Map<String, String> runs, Lab.Edge[] edges, String key, String name) {
        int count = 0;
        for (Lab.Edge edge : edges) {
            for (int i = 0; i < 3; i++) {
                String id = name + "-" + edge.ip + "-" + i;
                Lab.Response response = Lab.call(
                        edge.front,
                        "POST",
                        "/order/1",
                        "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\nX-Api-Key: " + key
                                + "\r\n",
                        new byte[10],
                        1_500);
                String tenant = runs.get(id);
                lab.note("request " + id + " with " + key + ": status " + response.status()
                        + (tenant == null ? ", not run" : ", run for tenant \"" + tenant + "\""));
                count += tenant == null ? 0 : 1;
            }
        }
        return count;
    }
}
