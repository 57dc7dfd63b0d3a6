/**
 * The replicated state machine of the control plane.
 *
 * <p>{@link io.chivehollow.state.machine.ControlState} applies the commands of the replicated log. Its parts are the
 * release notes and the deployment, which operators publish and from which the released state is built; the API keys;
 * the idempotency records of non-idempotent calls; the sessions of gateways; the fencing numbers of backend servers;
 * and the record of lending. A loan is a lease on part of a team's token budget.
 */
@NullMarked
package io.chivehollow.state.machine;

import org.jspecify.annotations.NullMarked;
