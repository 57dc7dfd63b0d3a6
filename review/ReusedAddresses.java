import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The runners of a service crash one after the other, their addresses go to runners of another service, and they start
 * again under the ids that they had.
 */
final class ReusedAddresses {

    /** `reuseAfterS` of the small deployments. */
    private static final long REUSE_AFTER_MS = 2_000;

    /** Time from the crash to the new start, in which the old entry stays on the list ("for some seconds"). */
    private static final long DOWN_MS = 4_800;

    /** One of so many is a share of 0.143, below the 0.15 of `replace_with_reuse`. */
    private static final int RUNNERS = 7;

    private static final int CALLERS_PER_MACHINE = 3;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + "{\"name\":\"r-status\",\"host\":\"desk.example\",\"pathPrefix\":\"/status/\",\"kind\":\"idempotent\","
            + "\"timeoutMs\":3000,\"sloMs\":386,\"priority\":2,\"service\":\"order-desk\",\"attempts\":2,\"public\":true},"
            + "{\"name\":\"r-label\",\"host\":\"desk.example\",\"pathPrefix\":\"/label/\",\"kind\":\"idempotent\","
            + "\"timeoutMs\":3000,\"sloMs\":386,\"priority\":2,\"service\":\"label-desk\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0},{\"name\":\"label-desk\",\"healthPath\":\"/healthz\","
            + "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private static volatile boolean isEnding;
    private static int count;

    private ReusedAddresses() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, ReusedAddresses::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addMachines(3);
        List<Rig.Runner> desk = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            desk.add(new Rig.Runner(rig, "i-order" + i, "order-desk", "zone-" + (char) ('a' + i % 3)));
        }
        new Rig.Runner(rig, "i-label0", "label-desk", "zone-a");
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        rig.publish(CONFIGURATION);
        rig.awaitReady();
        Rig.sleep(2_000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS_PER_MACHINE * rig.machines.size(); i++) {
            Rig.Machine machine = rig.machines.get(i % rig.machines.size());
            callers.add(Rig.thread(() -> {
                while (!isEnding) {
                    status(machine, "/status/");
                    Rig.sleep(40);
                }
            }));
        }
        for (int i = 0; i < RUNNERS; i++) {
            if (Rig.TROUBLE) {
                Rig.Runner old = desk.get(i);
                old.crash();
                Rig.sleep(REUSE_AFTER_MS);
                Rig.Runner other = new Rig.Runner(rig, "i-label" + (i + 1), "label-desk", old.zone, old.port());
                rig.note("runner " + other.id + " of label-desk starts at " + other.address);
                Rig.sleep(DOWN_MS - REUSE_AFTER_MS);
                Rig.Runner again = new Rig.Runner(rig, old.id, "order-desk", old.zone);
                // The entry of the id now has the new address; the list shows it without a gap.
                old.isListed = false;
                rig.note("runner " + again.id + " starts again at " + again.address);
            }
            Rig.sleep(3_000);
        }
        isEnding = true;
        for (Thread caller : callers) {
            caller.join(5_000);
        }
        Rig.sleep(5_000);
        // Nothing is disturbed any more; the runners have been on the list for 8 s at least.
        long startMs = Rig.ms();
        int sent = 0;
        int orders = 0;
        int labels = 0;
        for (int i = 0; i < 20; i++) {
            for (Rig.Machine machine : rig.machines) {
                sent++;
                orders += status(machine, "/status/") == 200 ? 1 : 0;
                labels += status(machine, "/label/") == 200 ? 1 : 0;
            }
            Rig.sleep(250);
        }
        rig.note("at the end, in " + (Rig.ms() - startMs) / 1_000 + " s: " + orders + " of " + sent + " lookups at order-desk and " + labels + " of " + sent
                + " at label-desk were served");
        double share = orders / (double) sent;
        double all = (orders + labels) / (2.0 * sent);
        return labels < sent * 9 / 10 ? 2 : share < all / 4 ? 1 : 0;
    }

    private static synchronized String nextId() {
        return "q" + ++count;
    }

    private static int status(Rig.Machine machine, String path) {
        try (var socket = machine.connect()) {
            socket.setSoTimeout(4_000);
            String id = nextId();
            Rig.send(socket, "GET " + path + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
            return Rig.Message.read(socket.getInputStream()).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
