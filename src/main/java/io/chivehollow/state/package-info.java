/** The durable state of the system: the replicated log and the state machine to which its commands are applied. */
@NullMarked
package io.chivehollow.state;

import org.jspecify.annotations.NullMarked;
