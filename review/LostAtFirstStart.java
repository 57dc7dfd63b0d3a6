import java.io.IOException;
import java.util.List;

/** At the first start of the system one of the three machines with a disk is lost for good and replaced. */
final class LostAtFirstStart {

    /** Time from the start of the machines to the loss. */
    private static final long LOSS_AFTER_MS = 150;

    /** Time from the loss to the start of the successor, as the site's entry of `replace_core` states it. */
    private static final long SUCCESSOR_AFTER_MS = 2_000;

    /** Time in which the operator sends the first configuration; the machines have 15 s before the traffic starts. */
    private static final long PATIENCE_MS = 60_000;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-status\","
            + "\"host\":\"desk.example\",\"pathPrefix\":\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":3000,"
            + "\"sloMs\":386,\"priority\":2,\"service\":\"order-desk\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private LostAtFirstStart() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, LostAtFirstStart::run);
    }

    private static int run(Rig rig) throws IOException {
        rig.addMachines(3);
        new Rig.Runner(rig, "i-desk0", "order-desk", "zone-a");
        new Rig.Runner(rig, "i-desk1", "order-desk", "zone-b");
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        if (Rig.TROUBLE) {
            Rig.sleep(LOSS_AFTER_MS);
            Rig.Machine lost = rig.machines.get(2);
            lost.signal("KILL");
            rig.machines.remove(lost);
            rig.note("machine " + lost.ip + " is gone for good");
            Rig.sleep(SUCCESSOR_AFTER_MS);
            rig.addMachine(lost.zone).start();
        }
        // The operator sends the first configuration until it is accepted.
        long endMs = Rig.ms() + PATIENCE_MS;
        int sent = 0;
        boolean isAcknowledged = false;
        while (!isAcknowledged && Rig.ms() < endMs) {
            Rig.Machine machine = rig.machines.get(sent++ % rig.machines.size());
            try {
                int status = machine.operator("POST", "/api/Config.Put", CONFIGURATION, 1_500).status();
                isAcknowledged = status == 200;
                if (sent <= 6 || isAcknowledged) {
                    rig.note("configuration sent to " + machine.ip + ": status " + status);
                }
            } catch (IOException e) {
                rig.note("configuration sent to " + machine.ip + ": " + e);
            }
            Rig.sleep(300);
        }
        rig.note("the configuration was sent " + sent + " times and was "
                + (isAcknowledged ? "" : "never ") + "acknowledged");
        Rig.sleep(2_500);
        int served = 0;
        for (Rig.Machine machine : rig.machines) {
            for (String id : List.of("s1-" + machine.ip, "s2-" + machine.ip)) {
                try (var socket = machine.connect()) {
                    socket.setSoTimeout(4_000);
                    Rig.send(socket, "GET /status/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 3000\r\n\r\n");
                    int status = Rig.Message.read(socket.getInputStream()).status();
                    rig.note("lookup " + id + ": status " + status);
                    served += status == 200 ? 1 : 0;
                } catch (IOException e) {
                    rig.note("lookup " + id + ": " + e);
                }
            }
        }
        rig.note(served + " lookups were served");
        return served == 0 ? 1 : 0;
    }
}
