import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An operator has two orders in progress on one connection; the second one is an invalid configuration. */
final class PipelinedOrders {

    private static final int ROUNDS = 5;

    private PipelinedOrders() {}

    /** Returns a configuration; an invalid one has two tenants that share a key. */
    private static String configuration(int version, boolean isValid) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-order\",\"host\":\"desk.example\","
                + "\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":386,\"priority\":2,"
                + "\"service\":\"order-desk\",\"attempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
                + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"shop\",\"apiKeys\":[\"k-shop-1\"],\"priority\":1,\"unit\":\"tokens\","
                + "\"plainTokens\":200,\"ratePerS\":47000,\"burst\":47000},"
                + "{\"name\":\"school\",\"apiKeys\":[\"" + (isValid ? "k-school-1" : "k-shop-1")
                + "\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":47000,\"burst\":47000}]}";
    }

    private static String order(String body) {
        return "POST /api/Config.Put HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, PipelinedOrders::run);
    }

    private static int run(Rig rig) throws IOException {
        rig.addMachines(3);
        new Rig.Runner(rig, "i-desk0", "order-desk", "zone-a");
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        rig.publish(configuration(7, true));
        rig.awaitReady();
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            int version = 20 + 10 * round;
            Rig.Machine machine = rig.machines.get(round % 3);
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(machine.ip, rig.control), 1_000);
                socket.setSoTimeout(4_000);
                Rig.send(socket, order(configuration(version, true)));
                Rig.send(socket, order(configuration(version + 1, !Rig.TROUBLE)));
                int first = Rig.Message.read(socket.getInputStream()).status();
                int second = Rig.Message.read(socket.getInputStream()).status();
                rig.note("sent version " + version + ", valid, and version " + (version + 1)
                        + (Rig.TROUBLE ? ", invalid" : ", valid") + "; answers " + first + " and " + second);
                boolean isInvalidAcknowledged = Rig.TROUBLE && second == 200;
                broken += isInvalidAcknowledged || first != 200 && first < 500 ? 1 : 0;
            }
            Rig.sleep(500);
        }
        rig.note(broken + " of " + ROUNDS + " pairs were answered as if the invalid configuration had been accepted");
        return broken > 0 ? 1 : 0;
    }
}
