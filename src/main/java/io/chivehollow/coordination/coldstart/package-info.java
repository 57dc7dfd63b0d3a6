/** Limits the concurrent requests of a backend server that has recently started. */
@NullMarked
package io.chivehollow.coordination.coldstart;

import org.jspecify.annotations.NullMarked;
