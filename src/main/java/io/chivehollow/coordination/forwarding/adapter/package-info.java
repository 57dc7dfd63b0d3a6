/** What an adapter provides so that the product can run on a platform with its own wire format and operator's API. */
@NullMarked
package io.chivehollow.coordination.forwarding.adapter;

import org.jspecify.annotations.NullMarked;
