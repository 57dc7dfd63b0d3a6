/** The use of links between failure domains. */
@NullMarked
package io.chivehollow.coordination.forwarding.locality;

import org.jspecify.annotations.NullMarked;
