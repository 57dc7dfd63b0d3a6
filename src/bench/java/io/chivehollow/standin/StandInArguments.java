package io.chivehollow.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Command line options of the stand-ins, as pairs of {@code --name value}.
 *
 * <p>Immutable and thread-safe.
 */
final class StandInArguments {

    private final Map<String, String> values;

    private StandInArguments(Map<String, String> values) {
        this.values = values;
    }

    /** Parses options; throws {@link IllegalArgumentException} for a name that is not in {@code validNames}. */
    static StandInArguments parse(String[] args, Set<String> validNames) {
        if (args.length % 2 != 0) {
            throw new IllegalArgumentException(
                    "expected pairs of --name value, found an odd number of arguments; valid options: " + validNames);
        }
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < args.length; i += 2) {
            String name = args[i].startsWith("--") ? args[i].substring(2) : args[i];
            if (!validNames.contains(name)) {
                throw new IllegalArgumentException("unknown option " + args[i] + "; valid options: " + validNames);
            }
            values.put(name, args[i + 1]);
        }
        return new StandInArguments(Map.copyOf(values));
    }

    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    int integer(String name, int defaultValue) {
        return values.containsKey(name) ? Integer.parseInt(values.get(name)) : defaultValue;
    }

    double number(String name, double defaultValue) {
        return values.containsKey(name) ? Double.parseDouble(values.get(name)) : defaultValue;
    }
}
