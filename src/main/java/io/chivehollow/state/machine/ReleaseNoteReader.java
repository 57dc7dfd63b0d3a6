package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.net.HostAndPort;
import io.chivehollow.base.JsonFields;

/**
 * Reads the fields of one JSON object of a release note and collects faults instead of stopping at the first.
 *
 * <p>Invariant: every reading method returns a usable value, also after it has recorded a fault. Not thread-safe.
 */
final class ReleaseNoteReader extends JsonFields {

    private static final Pattern ROUTE_PATH = Pattern.compile("/|(/[A-Za-z0-9._-]+)+");

    /** Paths that every gateway serves itself. */
    private static final List<String> RESERVED_PATHS = List.of("/v1", "/admin", "/healthz", "/readyz", "/metrics");

    private final List<String> faults;

    ReleaseNoteReader(String path, JsonNode node, List<String> faults) {
        super(path, node);
        this.faults = faults;
    }

    @Override
    protected void addFault(String fieldPath, String shown, String expected) {
        faults.add(fieldPath + ": " + shown + ": expected " + expected);
    }

    List<String> identifiers(String field) {
        List<String> identifiers = new ArrayList<>();
        for (JsonNode value : array(field)) {
            if (isIdentifier(field + "[" + identifiers.size() + "]", value)) {
                identifiers.add(value.textValue());
            }
        }
        return identifiers;
    }

    long wholeNumber(String field, long min, long max) {
        return wholeNumber(field, get(field), min, min, max);
    }

    long optionalNumber(String field, long defaultValue, long min, long max) {
        return get(field).isMissingNode() ? defaultValue : wholeNumber(field, min, max);
    }

    boolean optionalFlag(String field) {
        JsonNode value = get(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            fault(field, value, "true or false");
        }
        return value.booleanValue();
    }

    <E extends Enum<E>> E choice(String field, List<E> choices) {
        return choice(field, get(field).asText().toLowerCase(Locale.ROOT), choices);
    }

    String socketAddress(String field) {
        return address(field, get(field), 1).map(HostAndPort::toString).orElse(INVALID);
    }

    String routePath(String field) {
        JsonNode value = get(field);
        if (!value.isTextual() || !ROUTE_PATH.matcher(value.textValue()).matches()) {
            fault(field, value, "a path that starts with / and has no final /, for instance \"/orders\"");
            return "/invalid";
        }
        String route = value.textValue();
        for (String reserved : RESERVED_PATHS) {
            if (route.equals(reserved) || route.startsWith(reserved + "/")) {
                fault(field, value, "a path outside " + reserved + ", which the gateways serve themselves");
            }
        }
        return route;
    }

    ReleaseNoteReader object(String field) {
        JsonNode value = get(field);
        if (!value.isObject() && !value.isMissingNode()) {
            fault(field, value, "an object");
        }
        return new ReleaseNoteReader(
                pathOf(field), value.isObject() ? value : JsonNodeFactory.instance.objectNode(), faults);
    }

    <T> List<T> objects(String field, Function<ReleaseNoteReader, T> read) {
        List<T> items = new ArrayList<>();
        int position = 0;
        for (JsonNode value : array(field)) {
            String itemField = field + "[" + position++ + "]";
            if (!value.isObject()) {
                fault(itemField, value, "an object");
                continue;
            }
            ReleaseNoteReader reader = new ReleaseNoteReader(pathOf(itemField), value, faults);
            items.add(read.apply(reader));
            reader.checkNoOtherFields();
        }
        return items;
    }

    private JsonNode array(String field) {
        JsonNode value = get(field);
        if (value.isArray() || value.isMissingNode()) {
            return value;
        }
        fault(field, value, "a list");
        return JsonNodeFactory.instance.arrayNode();
    }
}
