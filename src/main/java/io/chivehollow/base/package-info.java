/** Types that every layer uses: typed ids, clocks, timers and errors with error codes. */
@NullMarked
package io.chivehollow.base;

import org.jspecify.annotations.NullMarked;
