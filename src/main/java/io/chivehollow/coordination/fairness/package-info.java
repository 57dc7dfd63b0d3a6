/** Fair queueing of the requests of several teams. */
@NullMarked
package io.chivehollow.coordination.fairness;

import org.jspecify.annotations.NullMarked;
