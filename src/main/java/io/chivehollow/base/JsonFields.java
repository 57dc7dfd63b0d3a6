package io.chivehollow.base;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object and reports all invalid values instead of stopping at the first.
 *
 * <p>Base class of the readers of settings and release notes. A fault is a field that is invalid, missing or not
 * allowed. Invariant: every reading method returns a usable value, also after it has reported a fault. Not thread-safe.
 */
public abstract class JsonFields {

    /** Placeholder that is returned for an invalid identifier or text. */
    protected static final String INVALID = "invalid";

    private static final int MAX_QUOTED_CHARS = 60;

    private final String path;
    private final JsonNode node;
    private final Set<String> readFields = new HashSet<>();

    /** Creates a reader of the object at the path, which is empty for the root of the document. */
    protected JsonFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    /**
     * Records a fault.
     *
     * @param fieldPath path of the field in the document
     * @param shown value of the field in JSON, possibly shortened, or "missing"
     * @param expected description of the values that are allowed
     */
    protected abstract void addFault(String fieldPath, String shown, String expected);

    /** Returns the value of a field, or a missing node; {@link #checkNoOtherFields} accepts the field from now on. */
    protected final JsonNode get(String field) {
        readFields.add(field);
        return node.path(field);
    }

    /** Returns whether the object has the field; unlike {@link #get}, does not mark it as read. */
    public final boolean has(String field) {
        return node.has(field);
    }

    /** Returns the path of a field in the document. */
    protected final String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Reports that the value of a field is not what is expected. */
    public final void fault(String field, JsonNode value, String expected) {
        String shown = value.isMissingNode() ? "missing" : abbreviate(value.toString());
        addFault(pathOf(field), shown, expected);
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
    }

    /** Reads an identifier; reports a fault and returns {@link #INVALID} if it is not valid. */
    public final String identifier(String field) {
        JsonNode value = get(field);
        return isIdentifier(field, value) ? value.textValue() : INVALID;
    }

    /** Returns whether the value is an identifier; reports a fault if it is not. */
    protected final boolean isIdentifier(String field, JsonNode value) {
        if (value.isTextual() && Identifiers.isIdentifier(value.textValue())) {
            return true;
        }
        fault(field, value, "an identifier of 1 to 128 characters out of A-Z a-z 0-9 . _ : / -");
        return false;
    }

    /** Reads a whole number from min to max; reports a fault and returns the default if the value is not valid. */
    protected final long wholeNumber(String field, JsonNode value, long defaultValue, long min, long max) {
        if (value.isIntegralNumber() && value.canConvertToLong()) {
            long number = value.longValue();
            if (number >= min && number <= max) {
                return number;
            }
        }
        fault(field, value, "a whole number from " + min + " to " + max);
        return defaultValue;
    }

    /** Returns the choice with the name in lower case; reports a fault and returns the first one if there is none. */
    protected final <E extends Enum<E>> E choice(String field, @Nullable String name, List<E> choices) {
        List<String> names = new ArrayList<>();
        for (E choice : choices) {
            String lowerCaseName = choice.name().toLowerCase(Locale.ROOT);
            if (lowerCaseName.equals(name)) {
                return choice;
            }
            names.add(lowerCaseName);
        }
        fault(field, node.path(field), "one of " + names);
        return choices.get(0);
    }

    /** Reads an IP address with a port of at least minPort; reports a fault and returns nothing if it is not valid. */
    protected final Optional<HostAndPort> address(String field, JsonNode value, int minPort) {
        if (value.isTextual()) {
            try {
                HostAndPort parsed = HostAndPort.fromString(value.textValue());
                if (parsed.hasPort() && parsed.getPort() >= minPort && InetAddresses.isInetAddress(parsed.getHost())) {
                    return Optional.of(parsed);
                }
            } catch (IllegalArgumentException e) {
                // The fault below is more specific than the parser's message.
            }
        }
        fault(field, value, "an IP address and a port, for instance \"127.0.0.1:7001\"");
        return Optional.empty();
    }

    /** Reports a fault for each field that has not been read; must be called after all fields have been read. */
    public final void checkNoOtherFields() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!readFields.contains(name)) {
                fault(
                        name,
                        node.get(name),
                        "no such field; known fields are "
                                + readFields.stream().sorted().toList());
            }
        }
    }
}
