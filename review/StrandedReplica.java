import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * A machine of the core is replaced as planned while another one is frozen, and the successor loses its disk.
 *
 * <p>Exits with 1 if the acknowledged configuration does not come back, 0 if it does, and 2 if the case could not run.
 */
public final class StrandedReplica {

    private static final int OLD_VERSION = 7;
    private static final int NEW_VERSION = 12;

    /** Longer than catchupS, 4 s. */
    private static final long SETTLED_MS = 6_000;

    /** graceS. */
    private static final long GRACE_MS = 8_000;

    /** After this time the frozen voter has been silent for longer than five vote hold times of 600 ms. */
    private static final long FROZEN_MS = 3_300;

    /** More than twice recoverS, 12 s, after the last machine is back. */
    private static final long READ_BACK_MS = 30_000;

    private final MachineRig rig;
    private final boolean hasTrouble;
    private final boolean losesDisk;

    private StrandedReplica(MachineRig rig, boolean hasTrouble, boolean losesDisk) {
        this.rig = rig;
        this.hasTrouble = hasTrouble;
        this.losesDisk = losesDisk;
    }

    public static void main(String[] args) throws IOException {
        int exitCode = 2;
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        boolean losesDisk = !"1".equals(System.getenv("KEEP_DISK"));
        Files.deleteIfExists(Path.of(args[0]));
        try (MachineRig rig = new MachineRig(Path.of(args[0]))) {
            exitCode = new StrandedReplica(rig, hasTrouble, losesDisk).run();
        } catch (IOException | IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(exitCode);
    }

    private static String document(long version) {
        return String.format(
                Locale.ROOT,
                "{\"version\":%d,\"routes\":[{\"name\":\"r-%d\",\"host\":\"shop.example\",\"pathPrefix\":\"/job/\","
                        + "\"kind\":\"idempotent\",\"timeoutMs\":1500,\"sloMs\":150,\"priority\":2,"
                        + "\"service\":\"desk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","
                        + "\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
                version,
                version);
    }

    private int run() throws IOException {
        MachineRig.Machine replaced = rig.machine(1, "z-a");
        MachineRig.Machine b = rig.machine(2, "z-b");
        MachineRig.Machine frozen = rig.machine(3, "z-c");
        MachineRig.Machine successor = rig.machine(4, "z-a");
        List<MachineRig.Machine> core = List.of(replaced, b, frozen);
        for (MachineRig.Machine machine : core) {
            machine.start(core, true);
        }
        rig.publish(core, document(OLD_VERSION), 20_000);
        List<MachineRig.Machine> seeds = List.of(b, frozen, successor);
        successor.start(core, false);
        rig.log("%s is added with an empty disk as the successor of %s", successor.ip, replaced.ip);
        MachineRig.sleep(SETTLED_MS);
        rig.await("all machines read back the configuration", 10_000, () -> List.of(replaced, b, frozen, successor).stream()
                .allMatch(machine -> rig.read(machine) == OLD_VERSION));
        double frozenAt = 0;
        if (hasTrouble) {
            frozen.signal("STOP");
            frozenAt = rig.seconds();
            rig.log("%s is frozen", frozen.ip);
            MachineRig.sleep(FROZEN_MS);
        }
        replaced.signal("TERM");
        rig.log("%s gets SIGTERM and leaves for good", replaced.ip);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GRACE_MS);
        while (replaced.isAlive() && System.nanoTime() - endNanos < 0) {
            MachineRig.sleep(50);
        }
        replaced.kill();
        rig.log("%s has ended", replaced.ip);
        rig.publish(List.of(b, successor), document(NEW_VERSION), 20_000);
        if (hasTrouble) {
            successor.kill();
            rig.log("%s is killed", successor.ip);
            if (losesDisk) {
                successor.loseDisk();
                rig.log("%s loses its disk", successor.ip);
            }
            frozen.signal("CONT");
            rig.log("%s wakes after %.1f s", frozen.ip, rig.seconds() - frozenAt);
            MachineRig.sleep(1_500);
            successor.start(seeds, false);
        }
        rig.log("all machines are back");
        List<MachineRig.Machine> all = new ArrayList<>(seeds);
        double backAt = rig.seconds();
        long last = -2;
        while (rig.seconds() - backAt < READ_BACK_MS / 1_000.0) {
            MachineRig.sleep(1_500);
            for (MachineRig.Machine machine : all) {
                long read = rig.read(machine);
                rig.log("operator: %s reads back %s", machine.ip, read == -2 ? "no 200" : "version " + read);
                last = read == -2 ? last : read;
            }
        }
        int status = rig.put(b, document(NEW_VERSION + 3));
        rig.log("operator: a further version gets %s", status == 0 ? "no response" : "" + status);
        boolean isBroken = last != NEW_VERSION;
        rig.log("read back: %s; acknowledged: %d: %s", last == -2 ? "nothing" : "version " + last, NEW_VERSION,
                isBroken ? "BROKEN" : "held");
        return isBroken ? 1 : 0;
    }
}
