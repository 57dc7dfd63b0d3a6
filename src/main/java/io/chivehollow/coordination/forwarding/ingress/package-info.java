/** HTTP entrance of forwarded requests. */
@NullMarked
package io.chivehollow.coordination.forwarding.ingress;

import org.jspecify.annotations.NullMarked;
