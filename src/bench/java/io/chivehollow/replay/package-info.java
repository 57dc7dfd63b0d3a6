/** A simulation on virtual time that runs placement policies on a cost model of the engines and compares them. */
@NullMarked
package io.chivehollow.replay;

import org.jspecify.annotations.NullMarked;
