/** The way of one forwarded request: admission, choice, sending, repetition, answer. */
@NullMarked
package io.chivehollow.coordination.forwarding.flow;

import org.jspecify.annotations.NullMarked;
