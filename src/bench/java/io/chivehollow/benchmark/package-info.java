/** Benchmarks of request latency, idle processes, the replicated log, idempotency records and placement decisions. */
@NullMarked
package io.chivehollow.benchmark;

import org.jspecify.annotations.NullMarked;
