/** HTTP client for the protocol of backend servers. */
@NullMarked
package io.chivehollow.protocol.engine;

import org.jspecify.annotations.NullMarked;
