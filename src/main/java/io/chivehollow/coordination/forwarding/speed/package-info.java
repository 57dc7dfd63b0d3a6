/** The speed of each backend server, and the expected time of a request at it. */
@NullMarked
package io.chivehollow.coordination.forwarding.speed;

import org.jspecify.annotations.NullMarked;
