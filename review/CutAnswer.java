import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner that is listed as draining is gone two seconds after the notice, in the middle of an answer. */
final class CutAnswer {

    private static final int PIECES = 25;
    private static final int PAUSE_MS = 200;
    private static final int LIST_LAG_MS = 800;
    private static final int GONE_AFTER_NOTICE_MS = 2_000;

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
              {"name":"r-draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":14000,
               "sloMs":900,"gapAimMs":300,"priority":1,"service":"texts","attempts":1,"public":true,"sticky":false,
               "resumable":false}],
             "services":[{"name":"texts","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,
              "coldS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[]}""";

    private CutAnswer() {}

    public static void main(String[] arguments) {
        Lab.play(arguments[0], CutAnswer::run);
    }

    private static int run(Lab lab) throws Exception {
        Process runner = lab.startStandIn("Runner", "i-one", String.valueOf(PIECES), String.valueOf(PAUSE_MS));
        AtomicInteger sent = new AtomicInteger();
        InetSocketAddress address = read(runner, lab, sent);
        lab.list("i-one", "texts", address, "zone-a", "ready", "");
        List<Lab.Edge> edges = lab.startEdges(3, 0);
        lab.begin(CONFIGURATION);

        CompletableFuture<Lab.Response> answer = CompletableFuture.supplyAsync(() -> Lab.call(
                edges.get(0).front,
                "POST",
                "/draft/1",
                "Host: shop.example\r\nX-Request-Id: stream-1\r\nX-Deadline-Ms: 14000\r\n",
                "text".getBytes(StandardCharsets.UTF_8),
                14_000));
        Lab.sleep(1_000);
        lab.note("the runner gets its notice; it serves on");
        Lab.sleep(LIST_LAG_MS);
        lab.list("i-one", "texts", address, "zone-a", "draining", "");
        lab.note("the list shows the runner as draining");
        Lab.sleep(GONE_AFTER_NOTICE_MS - LIST_LAG_MS);
        if (lab.trouble) {
            Lab.signal(runner, "KILL");
            lab.note("the runner is gone after " + sent.get() + " of " + PIECES + " pieces");
        }
        Lab.Response response = answer.get();
        int received = response.body().split("\n\n").length;
        lab.note("the client gets status " + response.status() + " with " + received + " of " + PIECES
                + " pieces, signature " + response.headers().getOrDefault("x-server-stamp", "none") + ", "
                + (response.isComplete() ? "complete" : "incomplete: " + response.failure()));
        boolean looksComplete = response.status() == 200 && response.isComplete();
        if (!lab.trouble && !looksComplete) {
            return Lab.CANNOT_RUN;
        }
        return looksComplete && received < PIECES ? Lab.BROKEN : Lab.PASSED;
    }

    /** Returns the address of the runner, and counts the pieces that it sends. */
    static InetSocketAddress read(Process runner, Lab lab, AtomicInteger sent) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(runner.getInputStream()));
        String first = lines.readLine();
        if (first == null) {
            throw new IOException("the runner did not start");
        }
        Lab.daemon(() -> {
            try {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    sent.incrementAndGet();
                    lab.note("runner: " + line);
                }
            } catch (IOException e) {
                // The runner has ended.
            }
        });
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(first.substring("port ".length())));
    }
}
