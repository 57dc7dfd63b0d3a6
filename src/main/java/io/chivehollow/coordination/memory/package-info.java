/** Accounting of an engine's KV cache memory, in blocks of a fixed number of tokens. */
@NullMarked
package io.chivehollow.coordination.memory;

import org.jspecify.annotations.NullMarked;
