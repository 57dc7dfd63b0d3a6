/**
 * Decisions of the router: placement, memory, fairness between teams, token budgets and configuration, and the
 * processes that use them.
 */
@NullMarked
package io.chivehollow.coordination;

import org.jspecify.annotations.NullMarked;
