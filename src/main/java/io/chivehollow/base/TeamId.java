package io.chivehollow.base;

/**
 * Identifies a team, to which rate limits, API keys and fair shares apply.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record TeamId(String value) implements Comparable<TeamId> {

    public TeamId {
        Identifiers.checkIdentifier("TeamId", value);
    }

    public static TeamId of(String value) {
        return new TeamId(value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
