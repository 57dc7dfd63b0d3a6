/** Processing of one forwarded request: admission, selection of a backend server, sending, retries and response. */
@NullMarked
package io.chivehollow.coordination.forwarding.flow;

import org.jspecify.annotations.NullMarked;
