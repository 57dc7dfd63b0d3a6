/** Copies of the released state with a proof of their freshness, and the check of API keys against them. */
@NullMarked
package io.chivehollow.coordination.config;

import org.jspecify.annotations.NullMarked;
