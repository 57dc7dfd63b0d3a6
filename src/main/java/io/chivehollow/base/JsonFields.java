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
 * Reads the fields of one JSON object and reports faults instead of stopping at the first.
 *
 * <p>Base of the readers of settings and release notes. Invariant: every reading method returns a usable value, also
 * after it has reported a fault. Not thread-safe.
 */
public abstract class JsonFields {

    /** Stands in for an identifier or a text with a fault. */
    protected static final String INVALID = "invalid";

    private static final int MAX_SHOWN_CHARS = 60;

    private final String path;
    private final JsonNode node;
    private final Set<String> knownFields = new HashSet<>();

    /** Reads an object at the path, which is empty for the whole document. */
    protected JsonFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    /** Takes a fault: the path of the field, what the document has there, and what it should have. */
    protected abstract void addFault(String fieldPath, String shown, String expected);

    /** Returns the value of a field, or a missing node; the field counts as known from now on. */
    protected final JsonNode get(String field) {
        knownFields.add(field);
        return node.path(field);
    }

    /** Returns whether the object has the field; it does not count as known yet. */
    public final boolean has(String field) {
        return node.has(field);
    }

    /** Returns the path of a field. */
    protected final String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Reports a fault of a field. */
    public final void fault(String field, JsonNode value, String expected) {
        String shown = value.isMissingNode() ? "missing" : abbreviate(value.toString());
        addFault(pathOf(field), shown, expected);
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }

    /** Reads an identifier. */
    public final String identifier(String field) {
        JsonNode value = get(field);
        return isIdentifier(field, value) ? value.textValue() : INVALID;
    }

    /** Returns whether the value is an identifier, and reports a fault if not. */
    protected final boolean isIdentifier(String field, JsonNode value) {
        if (value.isTextual() && Identifiers.isIdentifier(value.textValue())) {
            return true;
        }
        fault(field, value, "an identifier of 1 to 128 characters out of A-Z a-z 0-9 . _ : / -");
        return false;
    }

    /** Reads a whole number in a range; a value with a fault becomes the default. */
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

    /** Reads one of the choices by its name in lower case; a value with a fault becomes the first one. */
    protected final <E extends Enum<E>> E choice(String field, @Nullable String name, List<E> choices) {
        List<String> names = new ArrayList<>();
        for (E choice : choices) {
            String known = choice.name().toLowerCase(Locale.ROOT);
            if (known.equals(name)) {
                return choice;
            }
            names.add(known);
        }
        fault(field, node.path(field), "one of " + names);
        return choices.get(0);
    }

    /** Reads an IP address with a port of at least the given number; nothing after a fault. */
    protected final Optional<HostAndPort> address(String field, JsonNode value, int minPort) {
        if (value.isTextual()) {
            try {
                HostAndPort parsed = HostAndPort.fromString(value.textValue());
                if (parsed.hasPort() && parsed.getPort() >= minPort && InetAddresses.isInetAddress(parsed.getHost())) {
                    return Optional.of(parsed);
                }
            } catch (IllegalArgumentException e) {
                // Falls through to the fault below, which says more than the parser's message.
            }
        }
        fault(field, value, "an IP address and a port, for instance \"127.0.0.1:7001\"");
        return Optional.empty();
    }

    /** Reports a fault for each field that nothing has read. */
    public final void checkNoOtherFields() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownFields.contains(name)) {
                fault(
                        name,
                        node.get(name),
                        "no such field; known fields are "
                                + knownFields.stream().sorted().toList());
            }
        }
    }
}
