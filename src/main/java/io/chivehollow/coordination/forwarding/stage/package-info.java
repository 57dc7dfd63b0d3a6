/** How many backend servers of a service read prompts and how many make tokens. */
@NullMarked
package io.chivehollow.coordination.forwarding.stage;

import org.jspecify.annotations.NullMarked;
