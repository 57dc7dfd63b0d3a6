package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Kills and restarts the sidecar of a prefill or decode engine while requests are open.
 *
 * <p>Guards against an incomplete response that looks complete and against engine memory that is not released. Not
 * thread-safe.
 */
final class SidecarKillStep implements FaultStep {

    private static final int STREAMS = 4;
    private static final int MAX_TOKENS = 150;
    private static final int NEW_REQUESTS = 8;

    /** Takes about 100 ms to prefill, so that requests are in the prefill phase when the sidecar is killed. */
    private static final int PROMPT_WORDS = 3_000;

    private final FaultContext context;
    private final String kind;
    private String detail = "";

    SidecarKillStep(FaultContext context, String kind) {
        this.context = context;
        this.kind = kind;
    }

    @Override
    public String name() {
        return "SIGKILL and restart of a " + kind + " sidecar";
    }

    @Override
    public String detail() {
        return detail;
    }

    @Override
    public List<String> run() throws IOException {
        int gateway = context.random().nextInt(context.cluster().gateways());
        Cluster.Backend backend = context.chooseBackend(kind);
        String name = "sidecar-" + backend.id();
        List<StreamedResponse> streams =
                new ArrayList<>(context.openStreams(gateway, context.key(), STREAMS, MAX_TOKENS));
        for (int i = 0; i < NEW_REQUESTS; i++) {
            String prompt = ("p" + i + " ").repeat(PROMPT_WORDS);
            streams.add(
                    StreamedResponse.open(context.cluster().gatewayUrl(gateway), context.key(), prompt, MAX_TOKENS));
        }
        context.await("more blocks in use than open streams", () -> context.heldBlocks() > STREAMS);
        context.cluster().processes().get(name).destroyForcibly();
        context.awaitExit(name);
        context.cluster().startSidecar(backend);
        context.awaitEnd(streams);
        List<String> violations = new ArrayList<>();
        for (StreamedResponse stream : streams) {
            if (!stream.isComplete() && (stream.hasDoneEvent() || !stream.endsWithError())) {
                violations.add("neither complete nor ended with an error after SIGKILL of " + name + ": " + stream);
            }
        }
        detail = name + ": "
                + streams.stream().filter(StreamedResponse::isComplete).count() + " of " + streams.size()
                + " responses complete, others " + errors(streams);
        context.awaitFreeBlocks();
        context.steps().awaitBackendServers();
        return violations;
    }

    /** Returns the number of incomplete responses by status and error code. */
    private static Map<String, Long> errors(List<StreamedResponse> streams) {
        return streams.stream()
                .filter(stream -> !stream.isComplete())
                .collect(Collectors.groupingBy(
                        stream -> stream.status() + " " + stream.errorCode(), TreeMap::new, Collectors.counting()));
    }
}
