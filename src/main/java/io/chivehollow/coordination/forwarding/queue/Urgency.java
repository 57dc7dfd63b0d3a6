package io.chivehollow.coordination.forwarding.queue;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How urgent a request is among those of its service, and on whose account it waits.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank number of more urgent priorities at the service; 0 is the most urgent
 * @param team name of the team
 * @param teamWeight share of the team relative to those of other teams, 0 if it is not stated
 */
public record Urgency(int rank, String team, double teamWeight) {

    /** Checks the values. */
    public Urgency {
        checkArgument(rank >= 0, "rank must not be negative, but was %s", rank);
        checkArgument(teamWeight >= 0, "teamWeight must not be negative, but was %s", teamWeight);
    }
}
