package io.chivehollow.coordination.sidecar;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.loads.WeightLoadPermits;

/**
 * Services of the process that a sidecar uses.
 *
 * <p>Immutable and thread-safe.
 *
 * @param config copy of the released configuration
 * @param startRecords reads the start record from the log
 * @param weightLoadPermits permits to load a model or adapter into the engine from the weight store
 * @param metrics metric registry of the process
 */
public record SidecarServices(
        ConfigView config,
        StartRecordSource startRecords,
        WeightLoadPermits weightLoadPermits,
        MetricRegistry metrics) {}
