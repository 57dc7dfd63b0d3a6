/** Selection of the backend server for a request. */
@NullMarked
package io.chivehollow.coordination.placement;

import org.jspecify.annotations.NullMarked;
