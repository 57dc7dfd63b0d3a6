package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Withdraws an API key while streams that were opened with it are in progress.
 *
 * <p>Guards against a stream that continues, or ends as if complete, after its key was withdrawn. Not thread-safe.
 */
final class KeyWithdrawalStep implements FaultStep {

    private static final int STREAMS = 2;

    /**
     * At 20 ms or more for each token a response takes longer than the maximum wait, so that only the withdrawal can
     * end it.
     */
    private static final int MAX_TOKENS = 6_000;

    private final FaultContext context;

    KeyWithdrawalStep(FaultContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "API key withdrawn while its streams are open";
    }

    @Override
    public List<String> run() throws IOException {
        String key = context.steps().createKey("desk");
        List<StreamedResponse> streams = new ArrayList<>();
        for (int gateway = 0; gateway < context.cluster().gateways(); gateway++) {
            streams.addAll(context.openStreams(gateway, key, STREAMS, MAX_TOKENS));
        }
        String path = "/admin/v1/keys/" + key.split("_", 3)[1];
        context.await(
                "response with status 200 to the withdrawal of the key",
                () -> context.client()
                                .callAdmin("DELETE", context.random(), path, null)
                                .status()
                        == 200);
        context.awaitEnd(streams);
        List<String> violations = new ArrayList<>();
        streams.stream()
                .filter(stream -> stream.hasDoneEvent() || !stream.endsWithError())
                .forEach(stream ->
                        violations.add("stream of a withdrawn key did not end with an error event: " + stream));
        context.awaitFreeBlocks();
        return violations;
    }
}
