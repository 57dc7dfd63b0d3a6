package io.chivehollow.cli;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;

/**
 * Renders JSON data as indented text with a table for each list of objects.
 *
 * <p>Stateless and thread-safe.
 */
final class JsonText {

    private static final String INDENT = "  ";

    private JsonText() {}

    static String describe(JsonNode node) {
        StringBuilder text = new StringBuilder();
        append(text, node, "");
        return text.toString();
    }

    private static void append(StringBuilder text, JsonNode node, String indent) {
        if (node.isArray()) {
            appendTable(text, node, indent);
            return;
        }
        if (!node.isObject()) {
            text.append(indent).append(node.asText()).append('\n');
            return;
        }
        for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            JsonNode value = field.getValue();
            text.append(indent).append(field.getKey()).append(':');
            if (value.isContainerNode()) {
                text.append(value.isEmpty() ? " none\n" : "\n");
                append(text, value, indent + INDENT);
            } else {
                text.append(' ').append(value.asText()).append('\n');
            }
        }
    }

    private static void appendTable(StringBuilder text, JsonNode rows, String indent) {
        Set<String> columns = new LinkedHashSet<>();
        for (JsonNode row : rows) {
            if (!row.isObject()) {
                text.append(indent).append(cell(row)).append('\n');
                continue;
            }
            row.fieldNames().forEachRemaining(columns::add);
        }
        if (columns.isEmpty()) {
            return;
        }
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.copyOf(columns));
        for (JsonNode row : rows) {
            cells.add(columns.stream().map(column -> cell(row.path(column))).toList());
        }
        for (List<String> line : cells) {
            text.append(indent);
            for (int i = 0; i < line.size(); i++) {
                int column = i;
                int width = cells.stream()
                        .mapToInt(other -> other.get(column).length())
                        .max()
                        .orElse(0);
                boolean isLast = i == line.size() - 1;
                text.append(isLast ? line.get(i) : Strings.padEnd(line.get(i), width + 2, ' '));
            }
            text.append('\n');
        }
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return value.isContainerNode() ? value.toString() : value.asText();
    }
}
