package io.chivehollow.metrics;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;
import io.prometheus.client.Collector;
import io.prometheus.client.dropwizard.samplebuilder.DefaultSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;

/**
 * Encodes labels in the metric names of a Dropwizard registry, which does not support labels.
 *
 * <p>Stateless and thread-safe. An encoded name is the metric's name followed by {@code |label=value} for each label.
 */
final class MetricNames implements SampleBuilder {

    private static final char SEPARATOR = '|';

    private final DefaultSampleBuilder delegate = new DefaultSampleBuilder();

    static String withLabel(String name, TeamId team, RequestClass requestClass) {
        return withLabel(withLabel(name, "team", team.value()), "class", requestClass.label());
    }

    static String withLabel(String name, String label, String value) {
        return name + SEPARATOR + label + "=" + value;
    }

    static String failureCounter(TeamId team, ErrorCode code, boolean notRun) {
        return "gateway.failures" + SEPARATOR + "team=" + team + SEPARATOR + "code=" + code.wireName() + SEPARATOR
                + "not_run=" + notRun;
    }

    @Override
    public Collector.MetricFamilySamples.Sample createSample(
            String name, String nameSuffix, List<String> labelNames, List<String> labelValues, double value) {
        String[] parts = name.split("\\|");
        List<String> names = new ArrayList<>(labelNames);
        List<String> values = new ArrayList<>(labelValues);
        for (int i = 1; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            names.add(parts[i].substring(0, equals));
            values.add(parts[i].substring(equals + 1));
        }
        return delegate.createSample("chivehollow." + parts[0], nameSuffix, names, values, value);
    }
}
