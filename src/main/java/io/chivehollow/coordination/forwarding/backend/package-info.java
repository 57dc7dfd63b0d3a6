/** Backend servers that are reached directly: what is known of them, connections to them, and which one is chosen. */
@NullMarked
package io.chivehollow.coordination.forwarding.backend;

import org.jspecify.annotations.NullMarked;
