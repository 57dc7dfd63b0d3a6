/**
 * Authenticated connections between the processes of the system.
 *
 * <p>A connection carries many calls at once. Heartbeats detect an unresponsive peer.
 */
@NullMarked
package io.chivehollow.transport;

import org.jspecify.annotations.NullMarked;
