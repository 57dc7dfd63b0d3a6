/** Counters and histograms of a process, in the Prometheus text format. */
@NullMarked
package io.chivehollow.metrics;

import org.jspecify.annotations.NullMarked;
