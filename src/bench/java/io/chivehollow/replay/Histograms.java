package io.chivehollow.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.Histogram;

/**
 * Writes histograms of the time to first token of the interactive requests of the peak.
 *
 * <p>Stateless and thread-safe.
 */
final class Histograms {

    private static final int BINS = 40;
    private static final double MAX_MS = 2_000;

    private Histograms() {}

    static void write(Path directory, ReplayRun.Result run) throws IOException {
        Files.createDirectories(directory);
        Trace.Window peak = run.trace().window("peak");
        // Times above MAX_MS are counted in the last bin. Requests without a first token are not shown.
        List<Double> times = run.requests().stream()
                .filter(r -> r.arrival.kind() == Trace.RequestKind.INTERACTIVE && peak.contains(r.arrival.timeMs()))
                .filter(r -> r.withinRateLimit && r.firstTokenUs >= 0)
                .map(r -> Math.min(MAX_MS, (r.firstTokenUs - r.arrivedUs) / 1_000.0))
                .toList();
        if (times.isEmpty()) {
            return;
        }
        Histogram histogram = new Histogram(times, BINS, 0, MAX_MS);
        String name = run.trace().deployment() + "-" + run.policy() + "-seed-"
                + run.trace().seed();
        CategoryChart chart = new CategoryChartBuilder()
                .width(900)
                .height(500)
                .title("Time to first token at the peak, " + name)
                .xAxisTitle("ms (last bin: 2,000 and more)")
                .yAxisTitle("requests")
                .build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(90);
        chart.addSeries("requests", histogram.getxAxisData(), histogram.getyAxisData());
        BitmapEncoder.saveBitmap(chart, directory.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
