/** Routes of the forwarding role, and the teams of API keys. */
@NullMarked
package io.chivehollow.coordination.forwarding.route;

import org.jspecify.annotations.NullMarked;
