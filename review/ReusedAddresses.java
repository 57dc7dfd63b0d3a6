import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The runners of a service crash one after the other, their addresses go to runners of another service, and they start
 * again under the ids that they had.
 */
final class ReusedAddresses {

    /** `reuseAfterS` of the small deployments. */
    private static final long REUSE_AFTER_MS = 2_000;

    /** Longest time from a crash to the new start, in which the old entry stays on the list ("for some seconds"). */
    private static final long DOWN_MS = 4_800;

    private static final long PAUSE_MS = 1_500;

    /** Time after which no further runner crashes. */
    private static final long CRASHES_END_MS = 68_000;

    /** One of so many is a share of 0.143, below the 0.15 of `replace_with_reuse`. */
    private static final int RUNNERS = 7;

    private static final int CALLERS_PER_MACHINE = 2;
    private static final int WORK_MS = 5;

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

    /** The machines that have got 421 for each runner of order-desk. */
    private static final Map<String, Set<String>> MISDIRECTED = new ConcurrentHashMap<>();

    private static volatile boolean isEnding;
    private static int count;

    private ReusedAddresses() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, ReusedAddresses::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addMachines(3);
        Deque<Rig.Runner> next = new ArrayDeque<>();
        for (int i = 0; i < RUNNERS; i++) {
            next.add(new DeskRunner(rig, "i-order" + i, "order-desk", "zone-" + (char) ('a' + i % 3), 0));
        }
        new DeskRunner(rig, "i-label0", "label-desk", "zone-a", 0);
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
                    Rig.sleep(25);
                }
            }));
        }
        int crashes = 0;
        while (Rig.TROUBLE && !next.isEmpty() && Rig.ms() < CRASHES_END_MS) {
            Rig.Runner again = restart(rig, next.remove(), ++crashes);
            // A runner that some machine has not tried in time crashes once more.
            if (MISDIRECTED.get(again.id).size() < rig.machines.size()) {
                next.add(again);
            }
            Rig.sleep(PAUSE_MS);
        }
        if (!Rig.TROUBLE) {
            Rig.sleep(30_000);
        }
        rig.note(crashes + " crashes");
        isEnding = true;
        for (Thread caller : callers) {
            caller.join(5_000);
        }
        Rig.sleep(6_000);
        // Nothing is disturbed any more; the runners have been on the list for more than 7 s.
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
        rig.note("at the end, in " + (Rig.ms() - startMs) / 1_000 + " s: " + orders + " of " + sent
                + " lookups at order-desk and " + labels + " of " + sent + " at label-desk were served");
        double share = orders / (double) sent;
        double all = (orders + labels) / (2.0 * sent);
        return labels < sent * 9 / 10 ? 2 : share < all / 4 ? 1 : 0;
    }

    /** Lets a runner crash, its address go to another service, and the runner start again under its id. */
    private static Rig.Runner restart(Rig rig, Rig.Runner old, int number) throws IOException {
        Set<String> misdirected = MISDIRECTED.computeIfAbsent(
                old.id, id -> Collections.synchronizedSet(new HashSet<>()));
        old.crash();
        long endMs = Rig.ms() + DOWN_MS;
        Rig.sleep(REUSE_AFTER_MS);
        Rig.Runner other = new DeskRunner(rig, "i-label" + number, "label-desk", old.zone, old.port());
        rig.note("runner " + other.id + " of label-desk starts at " + other.address);
        while (Rig.ms() < endMs && misdirected.size() < rig.machines.size()) {
            Rig.sleep(50);
        }
        Rig.Runner again = new DeskRunner(rig, old.id, "order-desk", old.zone, 0);
        // The entry of the id now has the new address; the list shows it without a gap.
        old.isListed = false;
        rig.note("runner " + again.id + " starts again at " + again.address + "; " + misdirected.size()
                + " machines have got 421 from " + other.id);
        return again;
    }

    /** A runner that records which machines have sent it requests for the runner that had its address before. */
    private static final class DeskRunner extends Rig.Runner {

        DeskRunner(Rig rig, String id, String service, String zone, int port) throws IOException {
            super(rig, id, service, zone, port);
            workMs = request -> WORK_MS;
        }

        @Override
        boolean answer(Socket socket, Rig.Message request) throws IOException {
            String expected = request.header("x-expect-instance");
            String requestId = request.header("x-request-id");
            boolean isOpen = super.answer(socket, request);
            Set<String> misdirected = expected == null || expected.equals(id) ? null : MISDIRECTED.get(expected);
            if (misdirected != null && requestId != null && requestId.contains("-")) {
                misdirected.add(requestId.substring(requestId.indexOf('-') + 1));
            }
            return isOpen;
        }
    }

    private static synchronized String nextId(Rig.Machine machine) {
        return "q" + ++count + "-" + machine.ip;
    }

    private static int status(Rig.Machine machine, String path) {
        try (var socket = machine.connect()) {
            socket.setSoTimeout(4_000);
            String id = nextId(machine);
            Rig.send(socket, "GET " + path + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
            return Rig.Message.read(socket.getInputStream()).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
