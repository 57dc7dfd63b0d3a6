import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator raises the limit of bodies; clients send larger bodies on the connections that they have kept. */
final class RaisedLimit {

    private static final int CONFIG_MS = 2_000;
    private static final int CLIENTS = 24;

    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
              {"name":"r-order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
               "sloMs":300,"priority":2,"service":"desk","attempts":1,"public":true,"sticky":false,
               "resumable":false}],
             "services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private RaisedLimit() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], RaisedLimit::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        InetSocketAddress address = lab.serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
            if (!request.header("X-Expect-Instance").equals("i-one")) {
                Lab.writeResponse(out, 421, "X-Not-Run: 1\r\n", new byte[0]);
                return;
            }
            String id = request.header("X-Request-Id");
            runs.put(id, "run");
            Lab.writeResponse(out, 200, "X-Request-Id: " + id + "\r\nX-Server-Stamp: i-one\r\n", new byte[] {'k'});
        });
        lab.list("i-one", "desk", address, "zone-a", "ready", "");
        Lab.Edge[] edges = lab.startEdges(3, 0).toArray(Lab.Edge[]::new);
        lab.begin(String.format(CONFIGURATION, 7, 65_536));
        List<Socket> connections = new ArrayList<>();
        int requests = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket();
            socket.connect(edges[0].front, 1_000);
            connections.add(socket);
            Lab.Response response = send(socket, "before-" + i, 60_000);
            requests++;
            if (response.status() != 200) {
                return Lab.CANNOT_RUN;
            }
        }
        lab.note(CLIENTS + " clients keep a connection each; bodies of 60,000 bytes are answered with 200");
        // Without the disruption the clients stay within the limit that is in force.
        int bytes = lab.trouble ? 70_000 : 60_000;
        if (!lab.order("/api/Config.Put", String.format(CONFIGURATION, 9, lab.trouble ? 4_194_304 : 65_536), edges)) {
            return Lab.CANNOT_RUN;
        }
        Lab.sleep(CONFIG_MS + 1_000);
        lab.note("version 9 was acknowledged 3.0 s ago; the clients send " + bytes + " bytes each");
        int denied = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Lab.Response response = send(connections.get(i), "after-" + i, bytes);
            requests++;
            lab.note("request after-" + i + ": "
                    + (response.status() == 0 ? response.failure() : "status " + response.status()));
            denied += response.status() >= 300 && response.status() < 500 ? 1 : 0;
        }
        Lab.Response fresh = Lab.call(
                edges[0].front,
                "POST",
                "/order/1",
                "Host: shop.example\r\nX-Request-Id: fresh\r\nX-Deadline-Ms: 1400\r\n",
                new byte[bytes],
                1_500);
        requests++;
        lab.note("the same request on a new connection: status " + fresh.status());
        lab.note(denied + " of " + requests + " proper requests were denied; the rule allows "
                + (5 + requests / 500.0));
        return denied > 5 + requests / 500.0 ? Lab.BROKEN : Lab.PASSED;
    }

    private static Lab.Response send(Socket socket, String id, int bytes) {
        return Lab.exchange(
                socket,
                "POST",
                "/order/1",
                "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1400\r\n",
                new byte[bytes],
                1_500);
    }
}
