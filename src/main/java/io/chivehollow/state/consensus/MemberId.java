package io.chivehollow.state.consensus;

import io.chivehollow.base.InstanceId;

/**
 * Identifies a member: an instance together with the incarnation of its data folder.
 *
 * <p>Votes and acknowledgements count for this pair only, so that an instance that has lost its disk cannot
 * contradict votes and acknowledgements that it sent before. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param incarnation random number that is generated with the data folder
 */
record MemberId(InstanceId instance, long incarnation) {

    @Override
    public String toString() {
        return instance + "@" + Long.toHexString(incarnation);
    }
}
