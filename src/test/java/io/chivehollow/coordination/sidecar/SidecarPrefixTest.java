package io.chivehollow.coordination.sidecar;

import java.util.List;

import io.chivehollow.base.PrefixBlock;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against announcements that report a wrong length of the cached prefix to the gateway. */
public class SidecarPrefixTest {

    /** Guards against a prefix length that is computed with memory blocks, each of which spans many prefix blocks. */
    @Test
    public void cachedPrefixIsCountedInPrefixBlocks() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ClientConnection connection = harness.connectedSidecar(
                    BackendKind.PREFILL, harness.engine("--time-scale", "0.1").address());
            RequestInfo.Builder request = SidecarHarness.request("r1", 2_000, 10);
            TestCall first = SidecarHarness.admit(connection, request.addAllPrefixHashes(List.of(11L, 12L)));
            SidecarHarness.startPrefill(first, "a");
            first.await(Frame::hasPrefillDone);

            TestCall second =
                    SidecarHarness.admit(connection, request.setRequestId("r2").addPrefixHashes(13L));
            PrefillReady ready = second.await(Frame::hasPrefillReady).getPrefillReady();

            assertEquals(ready.getCachedPrefixTokens(), 2 * PrefixBlock.TOKENS);
        }
    }
}
