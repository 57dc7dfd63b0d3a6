import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A machine of the core is replaced as planned work; after its successor has had its time, another one loses its disk.
 */
final class ReplacedAndWiped {

    /** Time from the end of the replaced machine to the loss of the disk; more than catchupS, which is 4. */
    private static final long LOSS_AFTER_MS = Long.getLong("lossAfterMs", 4_200);

    /** recoverS of the small deployments. */
    private static final long RECOVER_MS = 12_000;

    private static final String SERVICES = "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\","
            + "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"shop\",\"apiKeys\":[\"k-shop-1\"],\"priority\":1,\"unit\":\"tokens\","
            + "\"plainTokens\":200,\"ratePerS\":47000,\"burst\":47000}]}";

    private ReplacedAndWiped() {}

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-order\",\"host\":\"desk.example\","
                + "\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":386,\"priority\":2,"
                + "\"service\":\"order-desk\",\"attempts\":1,\"public\":false}]," + SERVICES;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, ReplacedAndWiped::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addMachines(3);
        new Rig.Runner(rig, "i-desk0", "order-desk", "zone-a");
        new Rig.Runner(rig, "i-desk1", "order-desk", "zone-b");
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        rig.publish(configuration(7));
        rig.awaitReady();
        for (Rig.Machine machine : rig.machines) {
            machine.isBootstrap = false;
        }
        rig.note("before the replacement: " + order(rig, 1));

        // Planned work: the new machine first, then SIGTERM; the old one does not come back.
        Rig.Machine leaving = rig.machines.get(2);
        Rig.Machine wiped = rig.machines.get(0);
        Rig.Machine successor = rig.addMachine("zone-c");
        successor.start();
        rig.awaitReady();
        Rig.sleep(4_000);
        leaving.signal("TERM");
        if (!leaving.process.waitFor(8, TimeUnit.SECONDS)) {
            leaving.signal("KILL");
            leaving.process.waitFor();
        }
        long endedMs = Rig.ms();
        rig.machines.remove(leaving);
        rig.note("machine " + leaving.ip + " has ended and is gone for good");
        rig.publish(configuration(11));
        Rig.sleep(endedMs + LOSS_AFTER_MS - Rig.ms());

        if (Rig.TROUBLE) {
            wiped.signal("KILL");
            wiped.process.waitFor();
            delete(wiped.data);
            rig.note("machine " + wiped.ip + " has lost its disk");
            Rig.sleep(1_500);
            wiped.start();
        }
        Rig.sleep(RECOVER_MS + 8_000);

        // The operator reads the configuration back, at every machine, for longer than contactMs.
        int read = 0;
        int old = 0;
        long endMs = Rig.ms() + 12_000;
        while (Rig.ms() < endMs && read < 3) {
            for (Rig.Machine machine : rig.machines) {
                try {
                    Rig.Message answer = machine.operator("GET", "/api/Config.Get", "", 2_000);
                    boolean isNewest = answer.text().contains("\"version\":11,");
                    rig.note("configuration read at " + machine.ip + ": status " + answer.status()
                            + (answer.status() == 200 ? isNewest ? ", version 11" : ", another version" : ""));
                    read += answer.status() == 200 && isNewest ? 1 : 0;
                    old += answer.status() == 200 && !isNewest ? 1 : 0;
                } catch (IOException e) {
                    rig.note("configuration read at " + machine.ip + ": " + e);
                }
            }
            Rig.sleep(500);
        }
        rig.note("at the end: " + order(rig, 2));
        rig.note("the acknowledged configuration was read " + read + " times, an older one " + old + " times");
        return read == 0 || old > 0 ? 1 : 0;
    }

    /** Sends an order with a key to each machine. */
    private static String order(Rig rig, int round) throws IOException {
        StringBuilder statuses = new StringBuilder("orders answered with");
        for (Rig.Machine machine : rig.machines) {
            String id = "order-" + round + "-" + machine.ip;
            try (var socket = machine.connect()) {
                socket.setSoTimeout(3_000);
                Rig.send(socket, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: k-shop-1\r\nContent-Length: 2\r\n\r\n{}");
                statuses.append(' ').append(Rig.Message.read(socket.getInputStream()).status());
            } catch (IOException e) {
                statuses.append(' ').append(e.getClass().getSimpleName());
            }
        }
        return statuses.toString();
    }

    private static void delete(Path folder) throws IOException {
        List<Path> files;
        try (var walk = Files.walk(folder)) {
            files = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }
}
