package io.chivehollow.metrics;

import java.util.regex.Pattern;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against series that lose their labels, and against output that a Prometheus scraper rejects. */
public class ScrapeWriterTest {

    @Test
    public void seriesOfOneMetricFormOneFamilyWithAllLabels() {
        MetricRegistry registry = new MetricRegistry();
        GatewayMetrics metrics = GatewayMetrics.create(registry);
        metrics.firstToken(TeamId.of("a"), RequestClass.INTERACTIVE, 12);
        metrics.firstToken(TeamId.of("b/x.y"), RequestClass.BATCH, 34);
        metrics.failed(TeamId.of("a"), ErrorCode.OVERLOADED, true);
        String text = ScrapeWriter.create(registry).write();
        String name = "chivehollow_gateway_time_to_first_token_ms";
        assertTrue(text.contains(name + "{quantile=\"0.99\",team=\"a\",class=\"interactive\",} 12.0"), text);
        assertTrue(text.contains(name + "_count{team=\"b/x.y\",class=\"batch\",} 1.0"), text);
        assertTrue(text.contains("chivehollow_gateway_failures{team=\"a\",code=\"overloaded\",not_run=\"true\",} 1.0"));
        assertEquals(text.split("# TYPE " + name + " ", -1).length, 2, text);
        Pattern line = Pattern.compile("#.*|[a-z_]+(\\{([a-z_]+=\"[^\"]*\",)+\\})? [0-9.E+-]+|");
        for (String each : text.split("\n")) {
            assertTrue(line.matcher(each).matches(), each);
        }
    }
}
