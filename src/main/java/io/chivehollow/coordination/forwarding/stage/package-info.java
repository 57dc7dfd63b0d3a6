/** Pool roles of backend servers: how many servers of a service run prefill and how many run decode. */
@NullMarked
package io.chivehollow.coordination.forwarding.stage;

import org.jspecify.annotations.NullMarked;
