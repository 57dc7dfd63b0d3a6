/** Control messages between replicas and their clients, gateways and sidecars; both sides. */
@NullMarked
package io.chivehollow.coordination.replica;

import org.jspecify.annotations.NullMarked;
