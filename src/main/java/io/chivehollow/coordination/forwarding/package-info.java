/** The forwarding role: forwards callers' requests to backend servers that have no sidecar. */
@NullMarked
package io.chivehollow.coordination.forwarding;

import org.jspecify.annotations.NullMarked;
