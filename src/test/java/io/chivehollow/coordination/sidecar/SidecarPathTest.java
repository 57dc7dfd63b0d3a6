package io.chivehollow.coordination.sidecar;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.standin.StandInPlainService;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against requests that do not get a complete response although nothing fails. */
public class SidecarPathTest {

    @Test
    public void prefillTransferAndDecodeGiveTheCompleteResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine prefillEngine =
                    harness.engine("--name", "prefill", "--time-scale", "0.1", "--prefill-ttl-ms", "600000");
            StandInEngine decodeEngine = harness.engine("--name", "decode", "--time-scale", "0.1");
            ClientConnection prefill = harness.connectedSidecar(BackendKind.PREFILL, prefillEngine.address());
            ClientConnection decode = harness.connectedSidecar(BackendKind.DECODE, decodeEngine.address());

            Await.until(
                    "ready", () -> !SidecarHarness.status(prefill).getBootId().isEmpty());
            PrefillDone done = SidecarHarness.prefill(prefill, "r1", "hello");
            assertEquals(done.getPromptTokens(), 2);
            assertTrue(done.getKvBytes() > 0);
            TestCall call = SidecarHarness.reserve(decode, SidecarHarness.request("r1", 100, 5));
            SidecarHarness.startDecode(call, done.getHandle(), "hello", 5);
            GenerationDone end = call.await(Frame::hasGenerationDone).getGenerationDone();

            assertEquals(end.getOutputTokens(), 5);
            assertEquals(end.getFinishReason(), "length");
            assertEquals(call.text(), StandInEngine.expectedOutput("hello", 5));
            SidecarHarness.awaitAllReleased(decode, decodeEngine);
            assertEquals(prefillEngine.state().wastedPrefills(), 0);
            assertFalse(decodeEngine.state().headersSeen().containsKey("authorization"));
        }
    }

    /** Guards against a link budget without effect because the KV cache size is not estimated before the prefill. */
    @Test
    public void expectedKvCacheSizeIsEstimatedFromThePreviousPrefill() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine("--time-scale", "0.1", "--kv-bytes-per-token", "1000");
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());
            SidecarHarness.prefill(connection, "r1", "hello");

            TestCall call = SidecarHarness.admit(connection, SidecarHarness.request("r2", 100, 10));

            assertEquals(call.await(Frame::hasPrefillReady).getPrefillReady().getKvBytes(), 100_000);
        }
    }

    @Test
    public void plainCallReachesTheServiceOnceWithoutCredentials() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInPlainService service = harness.plainService();
            ClientConnection connection = harness.connectedSidecar(BackendKind.PLAIN, service.address());
            var message = SidecarHarness.plainCall("k1", 101, 1);
            message.addHeadersBuilder().setName("Authorization").setValue("Bearer chk_a_b");
            message.addHeadersBuilder().setName("X-Color").setValue("blue");

            Frame response = SidecarHarness.plain(connection, message).await(Frame::hasPlainResult);

            assertEquals(response.getPlainResult().getStatus(), 200);
            assertTrue(response.getPlainResult().getBody().toStringUtf8().contains("\"ran\":true"));
            assertEquals(service.ledger().size(), 1);
            assertEquals(service.ledger().get(0).idempotencyKey(), "k1");
            assertFalse(service.headersSeen().containsKey("authorization"));
            assertTrue(service.headersSeen().containsKey("x-color"));
        }
    }
}
