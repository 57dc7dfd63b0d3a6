package io.chivehollow.protocol.openai;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the response that lists the models.
 *
 * <p>Stateless and thread-safe.
 */
public final class ModelList {

    private ModelList() {}

    /** Returns the list of the models with the given ids, as JSON in UTF-8. */
    public static byte[] of(List<String> models) {
        ObjectNode list = Json.object().put("object", "list");
        ArrayNode data = list.putArray("data");
        for (String model : models) {
            data.addObject().put("id", model).put("object", "model").put("owned_by", "chivehollow");
        }
        return Json.toBytes(list);
    }
}
