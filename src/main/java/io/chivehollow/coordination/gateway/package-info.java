/** The gateway process: HTTP API, processing of requests, retries, cancellation and shutdown. */
@NullMarked
package io.chivehollow.coordination.gateway;

import org.jspecify.annotations.NullMarked;
