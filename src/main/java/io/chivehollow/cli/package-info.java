/** The command line interface. */
@NullMarked
package io.chivehollow.cli;

import org.jspecify.annotations.NullMarked;
