/** Limits what a process holds for callers and backend servers, and refuses new requests before it is overloaded. */
@NullMarked
package io.chivehollow.coordination.forwarding.pressure;

import org.jspecify.annotations.NullMarked;
