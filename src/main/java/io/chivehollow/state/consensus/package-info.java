/**
 * The replicated log, a variant of Raft: leader election, replication, leader lease, snapshots and membership changes.
 */
@NullMarked
package io.chivehollow.state.consensus;

import org.jspecify.annotations.NullMarked;
