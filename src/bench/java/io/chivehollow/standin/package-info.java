/** Stand-ins for backend servers: small simulated engines and plain services for tests, replays and the demo. */
@NullMarked
package io.chivehollow.standin;

import org.jspecify.annotations.NullMarked;
