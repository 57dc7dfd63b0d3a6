/**
 * Scheduling of weight loads, which load a model or adapter into an engine from the weight store.
 *
 * <p>The bandwidth of the weight store is limited, so only a few loads may run at the same time. The schedule reads no
 * clock; its callers pass the time. The load of a server, that is its utilization, is not the subject of this package.
 */
@NullMarked
package io.chivehollow.coordination.loads;

import org.jspecify.annotations.NullMarked;
