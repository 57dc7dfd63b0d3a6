import java.io.BufferedInputStream;
import java.io.IOException;
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
 * Another writer adds entries to the platform's list in which a field is missing: the stage of model runners.
 *
 * <p>Exits with 1 if the requests for the model are served less than a quarter as often as all requests, 0 if not, and
 * 2 if the case could not run. With TROUBLE=0 the other writer adds nothing.
 */
public final class SecondWriter {

    private static final long BEFORE_MS = 5_000;
    private static final long DURING_MS = 75_000;

    private final Rig rig;
    private final boolean hasTrouble;
    private final List<Runner> runners = new CopyOnWriteArrayList<>();
    private final Map<String, int[]> counts = new TreeMap<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean isWriting;
    private volatile boolean isOver;

    private SecondWriter(Rig rig, boolean hasTrouble) {
        this.rig = rig;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] args) throws IOException {
        int exitCode = 2;
        Files.deleteIfExists(Path.of(args[0]));
        try (Rig rig = new Rig(Path.of(args[0]))) {
            exitCode = new SecondWriter(rig, !"0".equals(System.getenv("TROUBLE"))).run();
        } catch (IOException | IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(exitCode);
    }

    private static String route(String name, String kind, String service, int sloMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\""
                + kind + "\",\"timeoutMs\":14000,\"sloMs\":" + sloMs + ",\"priority\":1,\"service\":\"" + service
                + "\",\"attempts\":2,\"public\":true,\"sticky\":" + kind.equals("streaming") + ",\"resumable\":"
                + kind.equals("streaming") + ",\"gapAimMs\":300}";
    }

    private static String document() {
        return "{\"version\":7,\"routes\":[" + route("quote", "streaming", "model", 900) + ","
                + route("job", "idempotent", "desk", 193)
                + "],\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":390,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":8.8,\"engine\":{\"slots\":64,"
                + "\"kvTokens\":60812,\"kvTokenBytes\":163840,\"linkMbps\":1600000.0,\"moves\":true,"
                + "\"backups\":true,\"stride\":9,\"most\":12,\"kvTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,"
                + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"desk\","
                + "\"healthPath\":\"/healthz\",\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,"
                + "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private int run() throws IOException {
        for (int i = 0; i < 8; i++) {
            String zone = "z-" + "abc".charAt(i % 3);
            runners.add(Runner.start(rig, "model", zone, "i-model" + i, 0, 20).withStage(i < 2 ? "prefill" : "decode"));
        }
        for (int i = 0; i < 3; i++) {
            runners.add(Runner.start(rig, "desk", "z-" + "abc".charAt(i), "i-desk" + i, 0, 20));
        }
        rig.setInstances(() -> {
            List<String> entries = new ArrayList<>();
            runners.forEach(runner -> entries.add(runner.entry()));
            if (isWriting) {
                runners.stream()
                        .filter(runner -> runner.service.equals("model"))
                        .forEach(runner -> entries.add(runner.entry().replaceAll(",\"stage\":\"[a-z]*\"", "")));
            }
            return entries;
        });
        List<Rig.Machine> core = List.of(rig.machine(1, "z-a"), rig.machine(2, "z-b"), rig.machine(3, "z-c"));
        for (Rig.Machine machine : core) {
            machine.start(core, true);
        }
        rig.publish(core, document(), 20_000);
        rig.await("all machines are ready", 15_000, () -> core.stream().allMatch(Rig.Machine::isReady));
        for (Rig.Machine machine : core) {
            Rig.daemon("quote", () -> ask(machine, "quote", 300));
            Rig.daemon("job", () -> ask(machine, "job", 100));
        }
        Rig.sleep(BEFORE_MS);
        isWriting = hasTrouble;
        rig.log("platform: another writer adds entries: %s", hasTrouble ? "of all model runners, without stage" : "none");
        rig.log("platform: the list is now %s", "[" + runners.get(2).entry() + ", ..."
                + (hasTrouble ? runners.get(2).entry().replaceAll(",\"stage\":\"[a-z]*\"", "") : "") + "]");
        Rig.sleep(DURING_MS);
        isOver = true;
        Rig.sleep(2_000);
        return judge();
    }

    private void ask(Rig.Machine machine, String kind, int periodMs) {
        while (!isOver) {
            String id = String.format(Locale.ROOT, "%s-%d-%06d", kind, machine.host, numbers.incrementAndGet());
            int status = attempt(machine, kind, id);
            synchronized (counts) {
                int[] found = counts.computeIfAbsent(kind, key -> new int[2]);
                found[0]++;
                found[1] += status == 200 ? 1 : 0;
                ends.merge(kind + " " + (status == 0 ? "no answer" : "" + status), 1, Integer::sum);
            }
            if (kind.equals("quote")) {
                rig.log("client: %s at %s gets %s", id, machine.ip, status == 0 ? "no answer" : "" + status);
            }
            Rig.sleep(periodMs);
        }
    }

    private int attempt(Rig.Machine machine, String kind, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, rig.frontPort), 1_000);
            socket.setSoTimeout(14_500);
            String request = "POST /" + kind + "/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                    + (kind.equals("quote")
                            ? "\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,"
                                    + Integer.toHexString(id.hashCode()) + ":660"
                            : "")
                    + "\r\nX-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            Rig.Message response = Rig.Message.read(new BufferedInputStream(socket.getInputStream()));
            return response == null ? 0 : Integer.parseInt(response.firstLine.split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    private int judge() {
        int asked = 0;
        int served = 0;
        for (Map.Entry<String, int[]> entry : counts.entrySet()) {
            asked += entry.getValue()[0];
            served += entry.getValue()[1];
            rig.log("%s: asked %d, served %d", entry.getKey(), entry.getValue()[0], entry.getValue()[1]);
        }
        ends.forEach((end, count) -> rig.log("ended: %s, %d times", end, count));
        int[] quote = counts.get("quote");
        if (quote == null || quote[1] < 20) {
            rig.log("the case could not run");
            return 2;
        }
        double share = (double) quote[1] / quote[0];
        double allShare = (double) served / asked;
        boolean isStarved = share < allShare / 4;
        rig.log("quote is served in %.3f of all cases, all requests in %.3f: %s",
                share, allShare, isStarved ? "BROKEN" : "held");
        return isStarved ? 1 : 0;
    }
}
