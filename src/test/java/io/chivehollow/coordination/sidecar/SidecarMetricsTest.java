package io.chivehollow.coordination.sidecar;

import java.util.List;

import io.chivehollow.metrics.ScrapeWriter;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Priority;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against missing metrics of the queue, the memory and the link, and against key ids in metrics. */
public class SidecarMetricsTest {

    @Test
    public void queueBlocksAndRampAreReported() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(1)) {
            StandInEngine engine = harness.engine("--time-scale", "100000");
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());
            ScrapeWriter scrape = ScrapeWriter.create(harness.registry);
            // Two are announced: one for the free slot and one ahead.
            for (String id : List.of("r1", "r2")) {
                SidecarHarness.admit(connection, SidecarHarness.request(id, 100, 10))
                        .await(Frame::hasPrefillReady);
            }
            for (String id : List.of("r3", "r4", "r5")) {
                RequestInfo.Builder request = SidecarHarness.request(id, 100, 10);
                boolean isBatch = id.equals("r5");
                SidecarHarness.admit(connection, isBatch ? request.setPriority(Priority.BATCH) : request);
            }
            Await.until("batch request queued", () -> scrape.write()
                    .contains("chivehollow_sidecar_queued{team=\"team-a\",class=\"batch\",} 1.0"));
            String text = scrape.write();
            for (String line : List.of(
                    "sidecar_queued{team=\"team-a\",class=\"interactive\",} 2.0",
                    "sidecar_blocks_free 62.0",
                    "sidecar_blocks_total 64.0",
                    "sidecar_ramp_limit 1.0",
                    "sidecar_ready 1.0",
                    "sidecar_queue_wait_ms_count{team=\"team-a\",class=\"interactive\",} 2.0")) {
                assertTrue(text.contains("chivehollow_" + line + "\n"), line + " in " + text);
            }
            assertFalse(text.contains("key-a"), text);
            connection.close();
            Await.until("empty queue reported", () -> scrape.write()
                    .contains("chivehollow_sidecar_queued{team=\"team-a\",class=\"batch\",} 0.0"));
        }
    }

    @Test
    public void plannedTransfersAreReported() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().linkBytesPerSecond(10_000)) {
            StandInEngine engine = harness.engine("--time-scale", "100000");
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            SidecarHarness.reserve(connection, SidecarHarness.request("r1", 100, 10), 4_000)
                    .await(Frame::hasDecodeReserved);
            ScrapeWriter scrape = ScrapeWriter.create(harness.registry);
            // 4,000 bytes take 400 ms of the 800 ms for which a prefill result is retained.
            Await.until("transfer reported", () -> scrape.write().contains("chivehollow_sidecar_link_use_ratio 0.5\n"));
            assertTrue(scrape.write().contains("chivehollow_sidecar_link_planned_bytes 4000.0\n"));
        }
    }
}
