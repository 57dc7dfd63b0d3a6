package io.chivehollow.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector.MetricFamilySamples;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/**
 * Writes the metrics of a registry in the Prometheus text format.
 *
 * <p>Thread-safe.
 */
public final class ScrapeWriter {

    private final DropwizardExports exports;

    private ScrapeWriter(DropwizardExports exports) {
        this.exports = exports;
    }

    /** Returns a writer for the registry. */
    public static ScrapeWriter create(MetricRegistry registry) {
        return new ScrapeWriter(new DropwizardExports(registry, new MetricNames()));
    }

    /** Returns the current values in the text format. */
    public String write() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, Collections.enumeration(collectFamilies()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Merges the series of each metric, which the registry stores under one name per set of labels. */
    private List<MetricFamilySamples> collectFamilies() {
        Map<String, MetricFamilySamples> families = new LinkedHashMap<>();
        for (MetricFamilySamples family : exports.collect()) {
            if (family.samples.isEmpty()) {
                continue;
            }
            String name = familyName(family);
            families.merge(name, withName(name, family), ScrapeWriter::mergeSamples);
        }
        return List.copyOf(families.values());
    }

    private static String familyName(MetricFamilySamples family) {
        String name = family.samples.get(0).name;
        return name.endsWith("_count") ? name.substring(0, name.length() - "_count".length()) : name;
    }

    private static MetricFamilySamples withName(String name, MetricFamilySamples family) {
        return new MetricFamilySamples(name, family.type, name.replace('_', ' '), family.samples);
    }

    private static MetricFamilySamples mergeSamples(MetricFamilySamples first, MetricFamilySamples second) {
        List<MetricFamilySamples.Sample> samples = new ArrayList<>(first.samples);
        samples.addAll(second.samples);
        return new MetricFamilySamples(first.name, first.type, first.help, samples);
    }
}
