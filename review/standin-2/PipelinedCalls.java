import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A caller sends three lookups one after the other on a connection; the machine freezes while the first one runs. */
final class PipelinedCalls {

    private static final int CONNECTIONS = 8;
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":\"desk.example\","
            + "\"pathPrefix\":\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":3000,\"sloMs\":386,\"priority\":1,"
            + "\"service\":\"order-desk\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"shop\",\"apiKeys\":[\"k-shop-1\"],\"priority\":1,\"unit\":\"tokens\","
            + "\"plainTokens\":200,\"ratePerS\":47000,\"burst\":47000}]}";

    private PipelinedCalls() {}

    private static String lookup(String id) {
        return "GET /status/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: k-shop-1\r\n\r\n";
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, PipelinedCalls::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addMachines(3);
        for (int i = 0; i < 3; i++) {
            Rig.Runner runner = new Rig.Runner(rig, "i-desk" + i, "order-desk", "zone-" + (char) ('a' + i));
            runner.workMs = request -> request.path().endsWith("first") ? 700 : 20;
        }
        for (Rig.Machine machine : rig.machines) {
            machine.start();
        }
        rig.publish(CONFIGURATION);
        rig.awaitReady();
        Rig.sleep(2_000);
        Rig.Machine machine = rig.machines.get(0);
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.add(machine.connect());
        }
        for (int i = 0; i < CONNECTIONS; i++) {
            Rig.send(callers.get(i), lookup("c" + i + "-1-first"));
        }
        Rig.sleep(200);
        for (int i = 0; i < CONNECTIONS; i++) {
            Rig.send(callers.get(i), lookup("c" + i + "-2"));
        }
        rig.note("first and second lookups sent on " + CONNECTIONS + " connections");
        Rig.sleep(200);
        if (Rig.TROUBLE) {
            machine.signal("STOP");
        }
        Rig.sleep(600);
        for (int i = 0; i < CONNECTIONS; i++) {
            Rig.send(callers.get(i), lookup("c" + i + "-3"));
        }
        rig.note("third lookups sent");
        Rig.sleep(300);
        if (Rig.TROUBLE) {
            machine.signal("CONT");
        }
        int wrong = 0;
        int answers = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket caller = callers.get(i);
            caller.setSoTimeout(4_000);
            for (String sent : List.of("c" + i + "-1-first", "c" + i + "-2", "c" + i + "-3")) {
                try {
                    Rig.Message answer = Rig.Message.read(caller.getInputStream());
                    answers++;
                    String id = answer.header("x-request-id");
                    boolean isForeign = answer.status() == 200 && !sent.equals(id);
                    rig.note("answer to " + sent + ": status " + answer.status() + ", id " + id + ", \"" + answer.text()
                            + "\"" + (isForeign ? "  <- belongs to another request" : ""));
                    wrong += isForeign ? 1 : 0;
                } catch (SocketTimeoutException | java.io.EOFException e) {
                    rig.note("no answer to " + sent + ": " + e);
                    break;
                }
            }
            caller.close();
        }
        rig.note(answers + " answers, " + wrong + " of them belong to another request");
        if (answers < 2 * CONNECTIONS) {
            return 2;
        }
        return wrong > 0 ? 1 : 0;
    }
}
