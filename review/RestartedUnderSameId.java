import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of one service are restarted one after the other and keep their ids, as a runner may.
 *
 * <p>Exits with 1 if the requests for the service are served less than a quarter as often as all requests, 0 if not,
 * and 2 if the case could not run. With TROUBLE=0 the runners start again under new ids.
 */
public final class RestartedUnderSameId {

    private static final int DRAIN_MS = 3_200;
    private static final int DOWN_MS = 1_000;
    private static final int DAY_MS = 95_000;

    private final MachineRig rig;
    private final boolean keepsIds;
    private final Map<String, AtomicInteger> asked = new TreeMap<>();
    private final Map<String, AtomicInteger> served = new TreeMap<>();
    private final Map<String, AtomicInteger> ends = new TreeMap<>();
    private final List<PlatformRunner> runners = new CopyOnWriteArrayList<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean isOver;

    private RestartedUnderSameId(MachineRig rig, boolean keepsIds) {
        this.rig = rig;
        this.keepsIds = keepsIds;
    }

    public static void main(String[] args) throws IOException {
        int exitCode = 2;
        Files.deleteIfExists(Path.of(args[0]));
        try (MachineRig rig = new MachineRig(Path.of(args[0]))) {
            exitCode = new RestartedUnderSameId(rig, !"0".equals(System.getenv("TROUBLE"))).run();
        } catch (IOException | IllegalStateException | InterruptedException e) {
            System.err.println(e);
        }
        System.exit(exitCode);
    }

    private static String route(String name, String kind, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\""
                + kind + "\",\"timeoutMs\":1500,\"sloMs\":193,\"priority\":2,\"service\":\"" + service
                + "\",\"attempts\":" + (kind.equals("idempotent") ? 2 : 1) + ",\"public\":true}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":130,\"protocol\":\"h1\","
                + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}";
    }

    private int run() throws IOException, InterruptedException {
        for (int i = 0; i < 3; i++) {
            runners.add(PlatformRunner.start(rig, "desk", "z-" + "abc".charAt(i), "i-desk" + i, 0, 40));
            runners.add(PlatformRunner.start(rig, "status", "z-" + "abc".charAt(i), "i-status" + i, 0, 40));
        }
        rig.setInstances(() -> {
            List<String> entries = new ArrayList<>();
            runners.forEach(runner -> entries.add(runner.entry()));
            return entries;
        });
        List<MachineRig.Machine> core = List.of(rig.machine(1, "z-a"), rig.machine(2, "z-b"), rig.machine(3, "z-c"));
        for (MachineRig.Machine machine : core) {
            machine.start(core, true);
        }
        rig.publish(
                core,
                "{\"version\":7,\"routes\":[" + route("booking", "non_idempotent", "desk") + ","
                        + route("job", "idempotent", "status") + "],\"services\":[" + service("desk") + ","
                        + service("status") + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
                20_000);
        rig.await("all machines are ready", 15_000, () -> core.stream().allMatch(MachineRig.Machine::isReady));
        double startS = rig.seconds();
        for (int i = 0; i < core.size(); i++) {
            MachineRig.Machine machine = core.get(i);
            MachineRig.daemon("booking", () -> ask(machine, "booking", 80));
            MachineRig.daemon("job", () -> ask(machine, "job", 20));
            MachineRig.daemon("job", () -> ask(machine, "job", 20));
        }
        MachineRig.sleep(1_000);
        for (int i = 0; i < 3; i++) {
            replace("i-desk" + i, i);
        }
        rig.log("all runners of desk have started again");
        while (rig.seconds() - startS < DAY_MS / 1_000.0) {
            MachineRig.sleep(200);
        }
        isOver = true;
        MachineRig.sleep(1_600);
        return judge();
    }

    /** Replaces a runner as the platform does it: it leaves, ends, and another one starts at the same address. */
    private void replace(String id, int number) throws IOException {
        PlatformRunner old = runners.stream().filter(runner -> runner.id.equals(id)).findFirst().orElseThrow();
        old.leave();
        MachineRig.sleep(DRAIN_MS);
        old.stop();
        runners.remove(old);
        MachineRig.sleep(DOWN_MS + 1_000);
        runners.add(PlatformRunner.start(rig, "desk", old.zone, keepsIds ? id : id + "-new", old.port(), 40));
        MachineRig.sleep(500);
    }

    /** A client at one machine, which asks over new connections at a steady rate. */
    private void ask(MachineRig.Machine machine, String kind, int periodMs) {
        for (int i = 0; !isOver; i++) {
            String id = String.format(Locale.ROOT, "%s-%d-%06d", kind, machine.host, numbers.incrementAndGet());
            int status = attempt(machine, kind, id);
            count(asked, kind);
            count(ends, kind + " " + (status == 0 ? "no answer" : "" + status));
            if (status == 200) {
                count(served, kind);
            }
            if (i % 100 == 0 || status != 200 && i % 100 < 2) {
                rig.log("client: %s at %s gets %s", id, machine.ip, status == 0 ? "no answer" : "" + status);
            }
            MachineRig.sleep(periodMs);
        }
    }

    private void count(Map<String, AtomicInteger> counts, String name) {
        synchronized (counts) {
            counts.computeIfAbsent(name, key -> new AtomicInteger()).incrementAndGet();
        }
    }

    private int attempt(MachineRig.Machine machine, String kind, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, rig.frontPort), 1_000);
            socket.setSoTimeout(2_000);
            String request = "POST /" + kind + "/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            MachineRig.Message response = MachineRig.Message.read(in);
            return response == null ? 0 : Integer.parseInt(response.firstLine.split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    private int judge() {
        int allAsked = 0;
        int allServed = 0;
        for (Map.Entry<String, AtomicInteger> entry : asked.entrySet()) {
            allAsked += entry.getValue().get();
            allServed += served(entry.getKey());
            rig.log("%s: asked %d, served %d", entry.getKey(), entry.getValue().get(), served(entry.getKey()));
        }
        ends.forEach((end, count) -> rig.log("ended: %s, %d times", end, count.get()));
        runners.forEach(runner -> rig.log("runner %s has run %d requests since its start", runner.id, runner.runs.get()));
        if (allServed == 0 || served("job") < asked.get("job").get() * 0.9) {
            rig.log("the case could not run");
            return 2;
        }
        double share = (double) served("booking") / asked.get("booking").get();
        double allShare = (double) allServed / allAsked;
        boolean isStarved = share < allShare / 4;
        rig.log(
                "booking is served in %.3f of all cases, all requests in %.3f: %s",
                share, allShare, isStarved ? "BROKEN" : "held");
        return isStarved ? 1 : 0;
    }

    private int served(String kind) {
        AtomicInteger count = served.get(kind);
        return count == null ? 0 : count.get();
    }
}
