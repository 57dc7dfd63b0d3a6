package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends SIGKILL to a gateway with open streams.
 *
 * <p>Guards against engine memory that is not released for requests whose gateway was killed. Not thread-safe.
 */
final class GatewayKillStep implements FaultStep {

    private static final int STREAMS = 4;

    /**
     * At 20 ms or more for each token a response takes longer than the maximum wait, so that only a cancellation can
     * release its blocks.
     */
    private static final int MAX_TOKENS = 6_000;

    private final FaultContext context;

    GatewayKillStep(FaultContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "SIGKILL of a gateway with open streams";
    }

    @Override
    public List<String> run() throws IOException {
        int gateway = context.random().nextInt(context.cluster().gateways());
        List<StreamedResponse> streams = context.openStreams(gateway, context.key(), STREAMS, MAX_TOKENS);
        List<String> violations = new ArrayList<>();
        if (context.heldBlocks() <= 0) {
            violations.add("no engine reports blocks in use while streams are open");
        }
        context.cluster().processes().get("gateway-" + gateway).destroyForcibly();
        context.awaitEnd(streams);
        streams.stream()
                .filter(StreamedResponse::hasDoneEvent)
                .forEach(stream ->
                        violations.add("stream of the killed gateway-" + gateway + " ended with [DONE]: " + stream));
        context.awaitFreeBlocks();
        context.awaitExit("gateway-" + gateway);
        context.cluster().startGateway(gateway);
        context.steps().awaitReady();
        return violations;
    }
}
