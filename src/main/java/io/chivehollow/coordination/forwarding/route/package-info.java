/** Which route a request takes and for which team it runs. */
@NullMarked
package io.chivehollow.coordination.forwarding.route;

import org.jspecify.annotations.NullMarked;
