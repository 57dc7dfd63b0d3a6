import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves an entry that breaks off on the list; then a runner is emptied and taken away. */
final class BrokenEntry {

    /** `drainMs` of the small deployments. */
    private static final long DRAIN_MS = 3_000;

    /** Time for which the leaving runner serves after its notice: `drainMs` and a little longer. */
    private static final long SERVES_MS = 5_500;

    /** Allowance for the threads of this program. */
    private static final long SLACK_MS = 250;

    private static final int WORK_MS = 100;

    /** One of so many is a share of 0.143, below that of the site's entries of `scale_in`. */
    private static final int RUNNERS = 7;

    private static final int CALLERS = 21;

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + "{\"name\":\"r-order\",\"host\":\"desk.example\",\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\","
            + "\"timeoutMs\":3000,\"sloMs\":386,\"priority\":2,\"service\":\"order-desk\",\"attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private static final AtomicInteger COUNT = new AtomicInteger();
    private static final ConcurrentHashMap<String, Long> SENT_MS = new ConcurrentHashMap<>();
    private static final ConcurrentHashMap<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static volatile boolean isEnding;

    private BrokenEntry() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, BrokenEntry::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addMachines(3);
        ConcurrentHashMap<String, Long> arrivals = new ConcurrentHashMap<>();
        Rig.Runner leaving = new Rig.Runner(rig, "i-order0", "order-desk", "zone-a");
        leaving.workMs = request -> {
            arrivals.put(request.header("x-request-id"), Rig.ms());
            return WORK_MS;
        };
        for (int i = 1; i < RUNNERS; i++) {
            new Rig.Runner(rig, "i-order" + i, "order-desk", "zone-" + (char) ('a' + i % 3)).workMs =
                    request -> WORK_MS;
        }
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        rig.publish(CONFIGURATION);
        rig.awaitReady();
        Rig.sleep(2_000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Rig.Machine machine = rig.machines.get(i % 3);
            callers.add(Rig.thread(() -> {
                while (!isEnding) {
                    order(machine);
                }
            }));
        }
        if (Rig.TROUBLE) {
            // The entry breaks off within its address.
            rig.foreignEntry = "{\"service\":\"order-desk\",\"addr\":\"127.0.0.1:80,";
            rig.note("the list has an entry of another writer that breaks off");
        }
        Rig.sleep(2_000);
        leaving.state = "draining";
        long noticeMs = Rig.ms();
        rig.note("the list shows " + leaving.id + " as draining");
        Rig.sleep(SERVES_MS);
        leaving.crash();
        leaving.isListed = false;
        long endMs = Rig.ms();
        Rig.sleep(1_500);
        isEnding = true;
        for (Thread caller : callers) {
            caller.join(5_000);
        }
        int late = 0;
        int lost = 0;
        long lastMs = 0;
        for (var arrival : arrivals.entrySet()) {
            long sinceMs = arrival.getValue() - noticeMs;
            // Sent by its client after the bound, too, so that nothing counts that was under way.
            boolean isLate = sinceMs > DRAIN_MS + SLACK_MS && SENT_MS.get(arrival.getKey()) - noticeMs > DRAIN_MS;
            late += isLate ? 1 : 0;
            lastMs = Math.max(lastMs, sinceMs);
            int status = ANSWERS.getOrDefault(arrival.getKey(), 0);
            if (isLate && status != 200) {
                lost++;
                rig.note("order " + arrival.getKey() + " reached " + leaving.id + " " + sinceMs
                        + " ms after the notice; its client got " + (status == 0 ? "no answer" : "status " + status));
            }
        }
        rig.note(arrivals.size() + " orders reached " + leaving.id + ", the last one " + lastMs + " ms after the notice; "
                + late + " of them later than drainMs, of which " + lost + " were lost when it ended at "
                + (endMs - noticeMs) + " ms");
        return arrivals.isEmpty() ? 2 : late > 0 ? 1 : 0;
    }

    private static void order(Rig.Machine machine) {
        String id = "o" + COUNT.incrementAndGet();
        SENT_MS.put(id, Rig.ms());
        try (var socket = machine.connect()) {
            socket.setSoTimeout(4_000);
            Rig.send(socket, "POST /order/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
            ANSWERS.put(id, Rig.Message.read(socket.getInputStream()).status());
        } catch (IOException e) {
            ANSWERS.put(id, 0);
        }
    }
}
