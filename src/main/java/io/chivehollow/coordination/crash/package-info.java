/**
 * Prompts that crash backend servers: what is known about them, shared by all processes, and which prompts are refused.
 */
@NullMarked
package io.chivehollow.coordination.crash;

import org.jspecify.annotations.NullMarked;
