/** Estimates of how fast the backend servers of a service work, learnt from the calls of this process. */
@NullMarked
package io.chivehollow.coordination.forwarding.estimate;

import org.jspecify.annotations.NullMarked;
