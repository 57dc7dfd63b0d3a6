package io.chivehollow.state.consensus;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.wire.PeerMessage;

/**
 * A message and its recipient.
 *
 * <p>Immutable and thread-safe.
 */
record OutgoingMessage(InstanceId to, PeerMessage message) {}
