/** Backend servers that are called without a sidecar: their state, the connections to them and the selection of one. */
@NullMarked
package io.chivehollow.coordination.forwarding.backend;

import org.jspecify.annotations.NullMarked;
