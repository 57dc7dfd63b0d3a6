package io.chivehollow.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Doubles;
import io.chivehollow.base.JsonFields;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object of a settings file and collects all faults instead of stopping at the first.
 *
 * <p>Invariant: every reading method returns a usable value, also after it has recorded a fault. Not thread-safe.
 */
final class ObjectReader extends JsonFields {

    private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

    private final String file;
    private final List<SettingsFault> faults;

    ObjectReader(String file, String path, JsonNode node, List<SettingsFault> faults) {
        super(path, node);
        this.file = file;
        this.faults = faults;
    }

    @Override
    protected void addFault(String fieldPath, String shown, String expected) {
        faults.add(new SettingsFault(file, fieldPath, shown, expected));
    }

    String text(String field) {
        JsonNode value = get(field);
        if (value.isTextual() && !value.textValue().isBlank()) {
            return value.textValue();
        }
        fault(field, value, "a string that is not blank");
        return INVALID;
    }

    InetSocketAddress address(String field) {
        return toAddress(field, get(field));
    }

    @Nullable
    InetSocketAddress optionalAddress(String field) {
        JsonNode value = get(field);
        return value.isMissingNode() ? null : toAddress(field, value);
    }

    List<InetSocketAddress> addresses(String field) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        JsonNode value = get(field);
        if (!value.isArray() || value.isEmpty()) {
            fault(field, value, "a list with at least one address");
            return addresses;
        }
        for (int i = 0; i < value.size(); i++) {
            addresses.add(toAddress(field + "[" + i + "]", value.get(i)));
        }
        return addresses;
    }

    private InetSocketAddress toAddress(String field, JsonNode value) {
        return address(field, value, 0)
                .map(parsed -> new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort()))
                .orElse(NO_ADDRESS);
    }

    long wholeNumber(String field, long defaultValue, long min, long max) {
        JsonNode value = get(field);
        return value.isMissingNode() ? defaultValue : wholeNumber(field, value, defaultValue, min, max);
    }

    int wholeNumber(String field, int defaultValue, int min, int max) {
        return (int) wholeNumber(field, (long) defaultValue, (long) min, (long) max);
    }

    double number(String field, double defaultValue, double min, double max) {
        JsonNode value = get(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
            fault(field, value, "a number from " + min + " to " + max);
            return defaultValue;
        }
        return value.doubleValue();
    }

    /**
     * Returns a number that a template may fill in as text. Empty text, and a placeholder that was not replaced, count
     * as absent, so that a platform that does not know the value does not prevent the start.
     */
    double filledNumber(String field, double defaultValue, double min, double max) {
        JsonNode value = get(field);
        if (!value.isTextual()) {
            return number(field, defaultValue, min, max);
        }
        String text = value.textValue().strip();
        if (text.isEmpty() || text.startsWith("{{")) {
            return defaultValue;
        }
        Double parsed = Doubles.tryParse(text);
        if (parsed == null || !(parsed >= min && parsed <= max)) {
            fault(field, value, "a number from " + min + " to " + max);
            return defaultValue;
        }
        return parsed;
    }

    <E extends Enum<E>> E optionalChoice(String field, E defaultValue) {
        return get(field).isMissingNode() ? defaultValue : choice(field, defaultValue.getDeclaringClass());
    }

    <E extends Enum<E>> E choice(String field, Class<E> type) {
        return choice(field, get(field).textValue(), List.of(type.getEnumConstants()));
    }

    @Nullable
    ObjectReader optionalObject(String field) {
        JsonNode value = get(field);
        if (value.isMissingNode()) {
            return null;
        }
        if (!value.isObject()) {
            fault(field, value, "an object");
            return null;
        }
        return new ObjectReader(file, pathOf(field), value, faults);
    }

    List<ObjectReader> objects(String field) {
        List<ObjectReader> readers = new ArrayList<>();
        JsonNode value = get(field);
        if (!value.isArray() || value.isEmpty()) {
            fault(field, value, "a list with at least one object");
            return readers;
        }
        for (int i = 0; i < value.size(); i++) {
            String itemField = field + "[" + i + "]";
            if (value.get(i).isObject()) {
                readers.add(new ObjectReader(file, pathOf(itemField), value.get(i), faults));
            } else {
                fault(itemField, value.get(i), "an object");
            }
        }
        return readers;
    }
}
