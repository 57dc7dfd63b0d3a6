package io.chivehollow.coordination.sidecar;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against transfers that are planned with the KV cache size of another model. */
public class SidecarKvCacheSizeTest {

    @Test
    public void sizePerTokenIsEstimatedForEachModel() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ClientConnection connection = harness.connectedSidecar(
                    BackendKind.PREFILL,
                    harness.engine("--time-scale", "0.1", "--kv-bytes-per-token", "1000")
                            .address());
            SidecarHarness.prefill(connection, "r1", "a");

            RequestInfo.Builder same = SidecarHarness.request("r2", 100, 10);
            assertEquals(expectedKvBytes(connection, same), 100_000);
            RequestInfo.Builder other = SidecarHarness.request("r3", 100, 10).setModel("other");
            assertEquals(expectedKvBytes(connection, other), 0);
        }
    }

    /** Guards against memory that grows with the number of model names. */
    @Test
    public void leastRecentlyUsedModelsAreEvicted() {
        KvCacheSizes sizes = new KvCacheSizes();
        for (int i = 0; i <= KvCacheSizes.MAX_MODELS; i++) {
            sizes.update("model-" + i, 500, 5);
            sizes.expectedBytes("model-0", 1);
        }
        assertEquals(sizes.expectedBytes("model-0", 7), 700);
        assertEquals(sizes.expectedBytes("model-1", 7), 0);
        assertEquals(sizes.expectedBytes("model-2", 7), 700);
    }

    private static long expectedKvBytes(ClientConnection connection, RequestInfo.Builder request) {
        TestCall call = SidecarHarness.admit(connection, request);
        long kvBytes = call.await(Frame::hasPrefillReady).getPrefillReady().getKvBytes();
        call.cancel();
        return kvBytes;
    }
}
