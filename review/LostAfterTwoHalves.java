import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * A configuration that two of four replicas acknowledge while the other two are down, and one lost disk.
 *
 * <p>Exits with 1 if the acknowledged configuration is lost, 0 if it is kept, and 2 if the case could not run.
 */
public final class LostAfterTwoHalves {

    private static final int OLD_VERSION = 7;
    private static final int NEW_VERSION = 12;

    /** Longer than catchupS, 4 s. */
    private static final long SETTLED_MS = 6_000;

    /** The first two machines are down for this time before the change is sent, and less than 5 s in all. */
    private static final long DOWN_MS = 3_800;

    /** The last machine is down for this time and some tenths of a second. */
    private static final long LAST_BACK_MS = 4_300;

    /** Longer than configMs and contactMs, 2 s and 3 s, and about recoverS, 12 s, after the last machine is back. */
    private static final long READ_BACK_MS = 16_000;

    private final MachineRig rig;
    private final boolean hasTrouble;
    private final boolean losesDisk;

    private LostAfterTwoHalves(MachineRig rig, boolean hasTrouble, boolean losesDisk) {
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
            exitCode = new LostAfterTwoHalves(rig, hasTrouble, losesDisk).run();
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
        MachineRig.Machine a = rig.machine(1, "z-a");
        MachineRig.Machine b = rig.machine(2, "z-b");
        MachineRig.Machine c = rig.machine(3, "z-c");
        MachineRig.Machine d = rig.machine(4, "z-c");
        List<MachineRig.Machine> core = List.of(a, b, c);
        for (MachineRig.Machine machine : core) {
            machine.start(core, true);
        }
        rig.publish(core, document(OLD_VERSION), 20_000);
        d.start(core, false);
        rig.log("%s is added with an empty disk", d.ip);
        MachineRig.sleep(SETTLED_MS);
        rig.await("all machines read back the configuration", 10_000, () -> List.of(a, b, c, d).stream()
                .allMatch(machine -> rig.read(machine) == OLD_VERSION));
        MachineRig.Machine leader = leader(core);
        if (leader == null) {
            throw new IllegalStateException("the leader is not known");
        }
        List<MachineRig.Machine> others = core.stream().filter(machine -> machine != leader).toList();
        rig.log("the leader is %s", leader.ip);
        if (hasTrouble) {
            others.forEach(MachineRig.Machine::kill);
            rig.log("%s and %s are killed and stay down", others.get(0).ip, others.get(1).ip);
            MachineRig.sleep(DOWN_MS);
        }
        rig.publish(List.of(leader, d), document(NEW_VERSION), 20_000);
        if (hasTrouble) {
            leader.kill();
            d.kill();
            rig.log("%s and %s are killed", leader.ip, d.ip);
            if (losesDisk) {
                d.loseDisk();
                rig.log("%s loses its disk", d.ip);
            }
            for (MachineRig.Machine machine : List.of(others.get(0), others.get(1), d)) {
                machine.start(core, false);
            }
            MachineRig.sleep(LAST_BACK_MS);
            readAll(List.of(others.get(0), others.get(1), d));
            leader.start(core, false);
        }
        double allBackAt = rig.seconds();
        boolean isOlder = false;
        long last = -2;
        while (rig.seconds() - allBackAt < READ_BACK_MS / 1_000.0) {
            MachineRig.sleep(2_500);
            long read = readAll(List.of(a, b, c, d));
            last = read == -2 ? last : read;
            isOlder |= read != -2 && read < NEW_VERSION;
        }
        boolean isLost = isOlder || last < NEW_VERSION;
        rig.log("read back at the end: version %d; acknowledged: %d", last, NEW_VERSION);
        rig.log(isLost ? "BROKEN: an acknowledged configuration is lost" : "held");
        return isLost ? 1 : 0;
    }

    /** Returns the oldest version that a machine reads back, or -2 if none answers with 200. */
    private long readAll(List<MachineRig.Machine> machines) {
        long oldest = Long.MAX_VALUE;
        for (MachineRig.Machine machine : machines) {
            long read = rig.read(machine);
            rig.log("operator: %s reads back %s", machine.ip, read == -2 ? "no 200" : "version " + read);
            oldest = read == -2 ? oldest : Math.min(oldest, read);
        }
        return oldest == Long.MAX_VALUE ? -2 : oldest;
    }

    /** Returns the machine that states in its log that it leads the group. */
    private static MachineRig.Machine leader(List<MachineRig.Machine> core) {
        for (MachineRig.Machine machine : core) {
            String output = machine.output();
            int at = output.lastIndexOf("Leader of the replica group in term");
            int end = at < 0 ? -1 : output.indexOf('"', at);
            if (end > 0 && output.substring(at, end).endsWith(": " + machine.ip)) {
                return machine;
            }
        }
        return null;
    }
}
