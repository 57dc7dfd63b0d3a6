package io.chivehollow.standin;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a simulated engine in which prefill does not slow down the other requests of the batch.
 *
 * <p>In a real engine the prompt tokens of a step extend the step, so that every request of the batch waits for them.
 */
public class BatchStepTest {

    private static final EngineOptions OPTIONS = EngineOptions.parse(
            "--step-ms",
            "20",
            "--step-per-request-ms",
            "0.5",
            "--prefill-us-per-token",
            "30",
            "--chunk-tokens",
            "1000");

    private static EngineJob job(EngineJob.State state, int promptTokens) {
        EmbeddedChannel channel = new EmbeddedChannel();
        StandInExchange exchange = new StandInExchange(
                channel,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/completions"),
                Map.of());
        ObjectNode body = StandInJson.newObject().put("prompt", "a".repeat(promptTokens * PrefixCache.CHARS_PER_TOKEN));
        EngineJob job = new EngineJob("job", exchange, body);
        job.state = state;
        return job;
    }

    @Test
    public void promptTokensExtendTheStepOfTheWholeBatch() {
        EngineJob first = job(EngineJob.State.PREFILL, 600);
        EngineJob second = job(EngineJob.State.PREFILL, 600);
        EngineJob third = job(EngineJob.State.PREFILL, 600);
        List<EngineJob> decodes = List.of(job(EngineJob.State.DECODE, 1), job(EngineJob.State.DECODE, 1));
        assertEquals(BatchStep.plan(decodes, OPTIONS).durationMs(), 21.0);

        BatchStep step = BatchStep.plan(List.of(decodes.get(0), first, second, third, decodes.get(1)), OPTIONS);

        assertEquals(step.chunks(), List.of(new BatchStep.Chunk(first, 600), new BatchStep.Chunk(second, 400)));
        assertEquals(step.durationMs(), 20 + 2 * 0.5 + 30);
    }
}
