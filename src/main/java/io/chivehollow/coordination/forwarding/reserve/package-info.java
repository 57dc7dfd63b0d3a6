/** Reservations of memory at the backend servers that make tokens. */
@NullMarked
package io.chivehollow.coordination.forwarding.reserve;

import org.jspecify.annotations.NullMarked;
