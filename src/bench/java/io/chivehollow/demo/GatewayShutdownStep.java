package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends SIGTERM to a gateway with open streams.
 *
 * <p>Guards against a graceful shutdown that cuts off open streams or accepts new requests that it does not finish. Not
 * thread-safe.
 */
final class GatewayShutdownStep implements FaultStep {

    private static final int STREAMS = 4;
    private static final int MAX_TOKENS = 300;
    private static final String REQUEST =
            "{\"model\": \"" + DemoRelease.MODEL + "\", \"prompt\": \"late\", \"max_tokens\": 2}";

    private final FaultContext context;

    GatewayShutdownStep(FaultContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "SIGTERM to a gateway with open streams";
    }

    @Override
    public List<String> run() throws IOException {
        int gateway = context.random().nextInt(context.cluster().gateways());
        List<StreamedResponse> streams = context.openStreams(gateway, context.key(), STREAMS, MAX_TOKENS);
        Process process = context.cluster().processes().get("gateway-" + gateway);
        List<String> violations = new ArrayList<>();
        long open = streams.stream().filter(StreamedResponse::isOpen).count();
        if (open < STREAMS) {
            violations.add("only " + open + " of " + STREAMS + " streams were open at the signal");
        }
        process.destroy();
        // The gateway still serves requests until load balancers can have noticed that it is not ready.
        context.await("rejection of a request by gateway-" + gateway, () -> isRejected(send(gateway), violations));
        context.awaitEnd(streams);
        Api.Response lateResponse = send(gateway);
        if (lateResponse.status() == 200) {
            violations.add("gateway-" + gateway + " served a request after it had rejected one");
        }
        streams.stream()
                .filter(stream -> !stream.isComplete())
                .forEach(stream -> violations.add("stream at gateway-" + gateway + " is incomplete: " + stream));
        context.awaitExit("gateway-" + gateway);
        context.cluster().startGateway(gateway);
        context.steps().awaitReady();
        return violations;
    }

    private Api.Response send(int gateway) {
        return context.client().sendTo(gateway, "/v1/completions", REQUEST, "Authorization", "Bearer " + context.key());
    }

    /**
     * Returns whether the response has a status other than 200. Adds a violation unless the response is 200, says "not
     * run" or was lost with the connection.
     */
    private static boolean isRejected(Api.Response response, List<String> violations) {
        boolean isNotRun = response.json().path("error").path("not_run").asBoolean(false);
        if (response.status() != 0 && response.status() != 200 && !isNotRun) {
            violations.add(
                    "new request was rejected without \"not run\": " + response.status() + " " + response.body());
        }
        return response.status() != 200;
    }
}
