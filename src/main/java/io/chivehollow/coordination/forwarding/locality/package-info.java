/** Decides which requests are sent to backend servers of other failure domains, and accounts for what they cost. */
@NullMarked
package io.chivehollow.coordination.forwarding.locality;

import org.jspecify.annotations.NullMarked;
