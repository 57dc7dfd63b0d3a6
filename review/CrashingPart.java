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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each model runner that begins to write an answer on it.
 *
 * <p>Exits with 1 if requests with the part go on to reach runners, or sound requests of their route begin less than
 * half as often as before; 0 if not, and 2 if the case could not run.
 */
public final class CrashingPart {

    private static final String DEADLY_PART = "dead0001";
    private static final long CONTACT_MS = 3_000;
    private static final long DOWN_MS = 3_000;
    private static final long LISTED_MS = 1_500;
    private static final long SOUND_ONLY_MS = 12_000;
    private static final long DEADLY_MS = 50_000;
    private static final int SOUND_PERIOD_MS = 400;
    private static final int DEADLY_PERIOD_MS = 500;
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String HEAD = STATUS_LINE
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Server-Stamp: 3e1b.dead.1\r\n\r\n";

    private final MachineRig rig;
    private final boolean hasTrouble;
    private final String begun;
    private final List<PlatformRunner> runners = new CopyOnWriteArrayList<>();
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    private final AtomicInteger starts = new AtomicInteger();
    private final Map<String, int[]> sound = new TreeMap<>();
    private final AtomicInteger lateDeadly = new AtomicInteger();
    private volatile boolean isOver;

    private CrashingPart(MachineRig rig, boolean hasTrouble, String begun) {
        this.rig = rig;
        this.hasTrouble = hasTrouble;
        this.begun = begun;
    }

    public static void main(String[] args) throws IOException {
        int exitCode = 2;
        Files.deleteIfExists(Path.of(args[0]));
        String begun = "1".equals(System.getenv("WHOLE_HEAD")) ? HEAD : STATUS_LINE;
        try (MachineRig rig = new MachineRig(Path.of(args[0]))) {
            exitCode = new CrashingPart(rig, !"0".equals(System.getenv("TROUBLE")), begun).run();
        } catch (IOException | IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(exitCode);
    }

    private static String document() {
        return "{\"version\":7,\"routes\":[{\"name\":\"quote\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/quote/\","
                + "\"kind\":\"streaming\",\"timeoutMs\":14000,\"sloMs\":900,\"priority\":1,\"service\":\"model\","
                + "\"attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300}],"
                + "\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":390,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":8.8,\"engine\":{\"slots\":64,"
                + "\"kvTokens\":60812,\"kvTokenBytes\":163840,\"linkMbps\":1600000.0,\"moves\":true,"
                + "\"backups\":true,\"stride\":9,\"most\":12,\"kvTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,"
                + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private void start(String zone, String stage, int port) {
        try {
            PlatformRunner runner = PlatformRunner.start(
                    rig, "model", zone, String.format(Locale.ROOT, "i-%s%04d", stage, starts.incrementAndGet()), port, 20);
            runners.add(runner.withStage(stage).crashingOn(DEADLY_PART, begun, this::onCrash));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The runner stays on the list for a while, and another one starts at its address some seconds later. */
    private void onCrash(PlatformRunner crashed) {
        crashNanos.add(System.nanoTime());
        rig.log("runner %s crashes (crash %d)", crashed.id, crashNanos.size());
        timers.schedule(() -> runners.remove(crashed), LISTED_MS, TimeUnit.MILLISECONDS);
        timers.schedule(() -> start(crashed.zone, "decode", crashed.port()), DOWN_MS, TimeUnit.MILLISECONDS);
    }

    private int run() throws IOException {
        for (int i = 0; i < 8; i++) {
            start("z-" + "abc".charAt(i % 3), i < 2 ? "prefill" : "decode", 0);
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
        rig.publish(core, document(), 20_000);
        rig.await("all machines are ready", 15_000, () -> core.stream().allMatch(MachineRig.Machine::isReady));
        MachineRig.sleep(2_000);
        for (MachineRig.Machine machine : core) {
            MachineRig.daemon("sound", () -> askSound(machine));
        }
        MachineRig.sleep(SOUND_ONLY_MS);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLY_MS);
        for (int i = 0; System.nanoTime() - endNanos < 0; i++) {
            if (hasTrouble) {
                int number = i;
                MachineRig.daemon("deadly", () -> askDeadly(core.get(number % core.size()), number));
            }
            MachineRig.sleep(DEADLY_PERIOD_MS);
        }
        isOver = true;
        MachineRig.sleep(3_000);
        timers.shutdownNow();
        return judge();
    }

    private boolean isSince(long crash, long timeMs) {
        return crashNanos.size() >= crash
                && System.nanoTime() - crashNanos.get((int) crash - 1) > TimeUnit.MILLISECONDS.toNanos(timeMs);
    }

    private void askSound(MachineRig.Machine machine) {
        for (int i = 0; !isOver; i++) {
            String phase = crashNanos.isEmpty() ? "before" : isSince(5, 2 * CONTACT_MS) ? "after" : "between";
            int number = i;
            MachineRig.daemon("ask", () -> {
                String id = "sound-" + machine.host + "-" + number;
                int status = ask(machine, id, "5c1e07a2:800,91bd3f06:410,");
                synchronized (sound) {
                    int[] counts = sound.computeIfAbsent(phase, key -> new int[2]);
                    counts[0]++;
                    counts[1] += status == 200 ? 1 : 0;
                }
                rig.log("client: %s at %s gets %s", id, machine.ip, status == 0 ? "no answer" : "" + status);
            });
            MachineRig.sleep(SOUND_PERIOD_MS);
        }
    }

    private void askDeadly(MachineRig.Machine machine, int number) {
        boolean isLate = isSince(5, CONTACT_MS);
        int crashes = crashNanos.size();
        String id = "deadly-" + number;
        int status = ask(machine, id, "5c1e07a2:800," + DEADLY_PART + ":410,");
        rig.log("client: %s at %s gets %s", id, machine.ip, status == 0 ? "no answer" : "" + status);
        if (isLate && crashNanos.size() > crashes) {
            lateDeadly.incrementAndGet();
        }
    }

    private int ask(MachineRig.Machine machine, String id, String parts) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, rig.frontPort), 1_000);
            socket.setSoTimeout(14_500);
            String request = "POST /quote/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prefix-Hash: " + parts
                    + Integer.toHexString(id.hashCode()) + ":250\r\nX-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            MachineRig.Message response = MachineRig.Message.read(new BufferedInputStream(socket.getInputStream()));
            return response == null ? 0 : Integer.parseInt(response.firstLine.split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    private int judge() {
        sound.forEach((phase, counts) ->
                rig.log("sound requests, %s the crashes: %d sent, %d answered whole", phase, counts[0], counts[1]));
        rig.log("runners crashed %d times", crashNanos.size());
        rig.log("requests with the part that crashed a runner, sent %d ms after the fifth crash: %d",
                CONTACT_MS, lateDeadly.get());
        int[] before = sound.get("before");
        if (before == null || before[1] < before[0] * 0.9) {
            rig.log("the case could not run");
            return 2;
        }
        int[] after = sound.get("after");
        boolean isStarved = after != null
                && after[0] >= 20
                && (double) after[1] / after[0] < (double) before[1] / before[0] / 2;
        boolean isOverBudget = lateDeadly.get() > 3;
        rig.log("BUDGET %s, LOST %s", isOverBudget ? "BROKEN" : "held", isStarved ? "BROKEN" : "held");
        return isOverBudget || isStarved ? 1 : 0;
    }
}
