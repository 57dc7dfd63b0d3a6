/** The order in which waiting requests are served when a deployment ranks its routes or teams by urgency. */
@NullMarked
package io.chivehollow.coordination.forwarding.queue;

import org.jspecify.annotations.NullMarked;
