import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator sends two invalid configurations: a route names an unknown service, and the tenants cannot be read. */
final class InvalidConfiguration {

    private static final int CONFIG_MS = 2_000;

    private static final String TENANTS =
            """
            [{"name":"red","apiKeys":["key-one"],"priority":1,"unit":"tokens","plainTokens":200,
              "ratePerS":47000,"burst":47000}]""";

    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
              {"name":"r-order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
               "sloMs":300,"priority":2,"service":"%s","split":[{"service":"desk","weight":1}],"attempts":1,
               "public":false,"sticky":false,"resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":%s}""";

    private InvalidConfiguration() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], InvalidConfiguration::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
            String id = request.header("X-Request-Id");
            runs.put(id, request.header("X-Tenant"));
            Lab.writeResponse(out, 200, "X-Request-Id: " + id + "\r\nX-Server-Stamp: i-one\r\n", new byte[] {'k'});
        });
        lab.list("i-one", "desk", address, "zone-a", "ready", "");
        Lab.Edge edge = lab.startEdges(3, 0).get(0);
        lab.begin(String.format(CONFIGURATION, 7, "desk", TENANTS));
        if (isRun(lab, runs, edge, "unknown-before") || !isRun(lab, runs, edge, "key-one")) {
            return Lab.CANNOT_RUN;
        }

        int serviceStatus = put(lab, edge, 9, lab.trouble ? "nowhere" : "desk", TENANTS);
        int tenantsStatus = put(lab, edge, 11, "desk", lab.trouble ? "\"red\"" : TENANTS);
        Lab.sleep(CONFIG_MS + 1_000);
        boolean isOpen = isRun(lab, runs, edge, "unknown-after");
        if (!lab.trouble) {
            return serviceStatus == 200 && tenantsStatus == 200 && !isOpen ? Lab.PASSED : Lab.CANNOT_RUN;
        }
        return serviceStatus == 200 || tenantsStatus == 200 || isOpen ? Lab.BROKEN : Lab.PASSED;
    }

    private static int put(Lab lab, Lab.Edge edge, int version, String service, String tenants) {
        int status = Lab.call(
                        edge.control,
                        "POST",
                        "/api/Config.Put",
                        "Host: control\r\nContent-Type: application/json\r\n",
                        String.format(CONFIGURATION, version, service, tenants).getBytes(StandardCharsets.UTF_8),
                        1_000)
                .status();
        lab.note("version " + version + ", service \"" + service + "\" beside the split, tenants "
                + tenants.replaceAll("\\s+", " ") + ": status " + status);
        return status;
    }

    private static boolean isRun(Lab lab, Map<String, String> runs, Lab.Edge edge, String key) {
        String id = "request-" + key;
        Lab.Response response = Lab.call(
                edge.front,
                "POST",
                "/order/1",
                "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\nX-Api-Key: " + key + "\r\n",
                new byte[10],
                1_500);
        lab.note("request with the key " + key + ": status " + response.status() + ", "
                + (runs.containsKey(id) ? "run for tenant \"" + runs.get(id) + "\"" : "not run"));
        return runs.containsKey(id);
    }
}
