/** Starts the roles of one process from its settings. */
@NullMarked
package io.chivehollow.runtime;

import org.jspecify.annotations.NullMarked;
