/** Reservations of KV cache memory at decode servers. */
@NullMarked
package io.chivehollow.coordination.forwarding.reserve;

import org.jspecify.annotations.NullMarked;
