package io.chivehollow.coordination.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.runtime.LogOutput;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against keys and prompts in log lines, and against log lines without their fields. */
@Test(singleThreaded = true)
public class SecretsLogTest {

    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
    private final OutputStreamAppender<ILoggingEvent> json = new OutputStreamAppender<>();
    private ByteArrayOutputStream jsonText;
    private final Logger logger = (Logger) LoggerFactory.getLogger("io.chivehollow");
    private Level previous;
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        previous = logger.getLevel();
        logger.setLevel(Level.ALL);
        lines.start();
        logger.addAppender(lines);
        jsonText = new ByteArrayOutputStream();
        json.setContext(logger.getLoggerContext());
        json.setEncoder(LogOutput.jsonEncoder(logger.getLoggerContext()));
        json.setOutputStream(jsonText);
        json.start();
        logger.addAppender(json);
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        logger.detachAppender(lines);
        logger.detachAppender(json);
        json.stop();
        logger.setLevel(previous);
        fixture.close();
    }

    @Test
    public void keysAndPromptsAreNotLogged() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
        FakeSidecar.Call decode = fixture.runUntilDecodeStart();
        decode.sendTokens(0, "secret-output");
        decode.fail(ErrorCode.BACKEND_FAILED);
        assertEquals(response.get().statusCode(), 502);
        fixture.send(fixture.post("/v1/chat/completions", "{\"secret-prompt"));
        fixture.sendAsync(fixture.post("/search?secret-prompt", "secret-prompt"));
        fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.INVALID_REQUEST);
        boolean hasFields = false;
        String id = response.get().headers().firstValue("X-Request-Id").orElse("?");
        List<ILoggingEvent> logged;
        synchronized (lines) {
            logged = List.copyOf(lines.list);
        }
        for (ILoggingEvent line : logged) {
            String text = line.getFormattedMessage() + line.getMDCPropertyMap();
            assertFalse(text.contains("secret-") || text.contains(fixture.key.text()), text);
            hasFields |= id.equals(line.getMDCPropertyMap().get("request_id"))
                    && "team-a".equals(line.getMDCPropertyMap().get("team"));
        }
        assertTrue(hasFields);
        checkJson(id);
        for (FakeSidecar sidecar : fixture.prefill) {
            assertFalse(sidecar.receivedText().contains(fixture.key.text()));
        }
    }

    private void checkJson(String requestId) throws Exception {
        // Messages with line breaks, quotes and control characters, and errors with a cause, must stay on one line.
        logger.error(
                "two\nlines, \"quoted\", \u0001 and \\", new IllegalStateException("a\nb", new IOException("c\"d")));
        logger.detachAppender(json);
        String text = jsonText.toString(StandardCharsets.UTF_8);
        assertFalse(text.contains("secret-") || text.contains(fixture.key.text()), text);
        List<JsonNode> objects = new ArrayList<>();
        for (String line : text.split("\n")) {
            objects.add(new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .readTree(line));
        }
        JsonNode last = objects.stream()
                .filter(object -> object.path("formattedMessage").asText().startsWith("two\nlines, \"quoted\", \u0001"))
                .findFirst()
                .orElseThrow();
        assertEquals(last.path("throwable").path("message").asText(), "a\nb");
        // Tests that run concurrently generate the same request ids; only this test's request fails in the backend.
        JsonNode fields = objects.stream()
                .filter(object -> object.path("formattedMessage").asText().equals("Request failed"))
                .map(object -> object.path("mdc"))
                .filter(mdc -> mdc.path("code").asText().equals("backend_failed"))
                .filter(mdc -> requestId.equals(mdc.path("request_id").asText()))
                .findFirst()
                .orElseThrow();
        assertEquals(fields.path("team").asText(), "team-a");
        assertEquals(fields.path("not_run").asText(), "false");
    }
}
