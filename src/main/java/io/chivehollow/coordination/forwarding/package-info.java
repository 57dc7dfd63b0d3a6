/** The forwarding role: passes requests on to backend servers without a sidecar. */
@NullMarked
package io.chivehollow.coordination.forwarding;

import org.jspecify.annotations.NullMarked;
