/** HTTP server that accepts the requests to be forwarded. */
@NullMarked
package io.chivehollow.coordination.forwarding.ingress;

import org.jspecify.annotations.NullMarked;
