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

/**
 * A later configuration adds a route that is split between a service of model runners and a plain service.
 *
 * <p>Exits with 1 if the requests on the added route are served less than a quarter as often as those on the first
 * route, 0 if not, and 2 if the case could not run. With TROUBLE=0 the added route names the plain service only.
 */
public final class SplitRoute {

    private static final long SETTLED_MS = 4_000;
    private static final int REQUESTS = 120;

    private final MachineRig rig;
    private final boolean isSplit;
    private final List<PlatformRunner> runners = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> ends = new TreeMap<>();

    private SplitRoute(MachineRig rig, boolean isSplit) {
        this.rig = rig;
        this.isSplit = isSplit;
    }

    public static void main(String[] args) throws IOException {
        int exitCode = 2;
        Files.deleteIfExists(Path.of(args[0]));
        try (MachineRig rig = new MachineRig(Path.of(args[0]))) {
            exitCode = new SplitRoute(rig, !"0".equals(System.getenv("TROUBLE"))).run();
        } catch (IOException | IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(exitCode);
    }

    private static String route(String name, String targets) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/" + name
                + "/\",\"kind\":\"streaming\",\"timeoutMs\":14000,\"sloMs\":900,\"priority\":1," + targets
                + ",\"attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300}";
    }

    private static String document(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":390,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":8.8,\"engine\":{\"slots\":64,"
                + "\"kvTokens\":60812,\"kvTokenBytes\":163840,\"linkMbps\":1600000.0,\"moves\":true,"
                + "\"backups\":true,\"stride\":9,\"most\":12,\"kvTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,"
                + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"plain\","
                + "\"healthPath\":\"/healthz\",\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,"
                + "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private int run() throws IOException {
        for (int i = 0; i < 3; i++) {
            String zone = "z-" + "abc".charAt(i);
            runners.add(PlatformRunner.start(rig, "model", zone, "i-pre" + i, 0, 20).withStage("prefill"));
            runners.add(PlatformRunner.start(rig, "model", zone, "i-dec" + i, 0, 20).withStage("decode"));
            runners.add(PlatformRunner.start(rig, "plain", zone, "i-plain" + i, 0, 20).withStage(""));
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
        String first = route("first", "\"service\":\"model\"");
        rig.publish(core, document(7, first), 20_000);
        rig.await("all machines are ready", 15_000, () -> core.stream().allMatch(MachineRig.Machine::isReady));
        String targets = isSplit
                ? "\"split\":[{\"service\":\"model\",\"weight\":10},{\"service\":\"plain\",\"weight\":90}]"
                : "\"service\":\"plain\"";
        rig.publish(core, document(9, first + "," + route("added", targets)), 20_000);
        MachineRig.sleep(SETTLED_MS);
        int servedFirst = 0;
        int servedAdded = 0;
        for (int i = 0; i < REQUESTS; i++) {
            servedFirst += ask(core.get(i % core.size()), "first", i) == 200 ? 1 : 0;
            servedAdded += ask(core.get(i % core.size()), "added", i) == 200 ? 1 : 0;
        }
        ends.forEach((end, count) -> rig.log("ended: %s, %d times", end, count));
        runners.forEach(runner -> rig.log("runner %s has run %d requests", runner.id, runner.runs.get()));
        if (servedFirst < REQUESTS * 0.9) {
            rig.log("the case could not run");
            return 2;
        }
        boolean isBroken = servedAdded < servedFirst / 4.0;
        rig.log(
                "of %d requests each, %d on the first route and %d on the added route were served: %s",
                REQUESTS, servedFirst, servedAdded, isBroken ? "BROKEN" : "held");
        return isBroken ? 1 : 0;
    }

    private int ask(MachineRig.Machine machine, String route, int number) {
        String id = String.format(Locale.ROOT, "%s-%06d", route, number);
        long startNanos = System.nanoTime();
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, rig.frontPort), 1_000);
            socket.setSoTimeout(15_000);
            String request = "POST /" + route + "/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800," + id.hashCode()
                    + ":660\r\nX-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            MachineRig.Message response = MachineRig.Message.read(new BufferedInputStream(socket.getInputStream()));
            status = response == null ? 0 : Integer.parseInt(response.firstLine.split(" ")[1]);
        } catch (IOException e) {
            status = 0;
        }
        ends.merge(route + " " + (status == 0 ? "no answer" : "" + status), 1, Integer::sum);
        rig.log(
                "client: %s at %s gets %s after %d ms",
                id, machine.ip, status == 0 ? "no answer" : "" + status, (System.nanoTime() - startNanos) / 1_000_000);
        return status;
    }
}
