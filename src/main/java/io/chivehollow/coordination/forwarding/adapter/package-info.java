/**
 * The interfaces that an adapter implements so that the product can run on a platform with its own wire format and
 * operator API.
 */
@NullMarked
package io.chivehollow.coordination.forwarding.adapter;

import org.jspecify.annotations.NullMarked;
