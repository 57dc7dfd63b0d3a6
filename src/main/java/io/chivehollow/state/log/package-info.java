/** The durable storage of a member: log segments with checksums, snapshots, and the member's term and vote. */
@NullMarked
package io.chivehollow.state.log;

import org.jspecify.annotations.NullMarked;
