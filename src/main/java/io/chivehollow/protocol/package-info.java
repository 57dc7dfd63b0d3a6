/** Definitions that several protocols share. */
@NullMarked
package io.chivehollow.protocol;

import org.jspecify.annotations.NullMarked;
