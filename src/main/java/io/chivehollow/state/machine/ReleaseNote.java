package io.chivehollow.state.machine;

import java.util.List;

import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.Team;

/**
 * A parsed release note.
 *
 * <p>Immutable and thread-safe. Each item is valid by itself; references between items are not checked yet.
 *
 * @param noteId id of the note, chosen by the operator
 * @param number number of the note
 * @param operator who wrote the note
 * @param added items that must not exist yet
 * @param changed items that must exist and are replaced as a whole
 * @param withdrawn ids of items that must exist and are removed
 */
record ReleaseNote(
        String noteId, long number, String operator, ConfigItems added, ConfigItems changed, WithdrawnIds withdrawn) {

    /**
     * Complete configuration items that a note adds or changes.
     *
     * @param draining ids of backend servers that start to drain
     */
    record ConfigItems(
            List<Team> teams,
            List<Route> routes,
            List<Domain> domains,
            List<Pool> pools,
            List<Model> models,
            List<String> draining) {

        boolean isEmpty() {
            return teams.isEmpty()
                    && routes.isEmpty()
                    && domains.isEmpty()
                    && pools.isEmpty()
                    && models.isEmpty()
                    && draining.isEmpty();
        }
    }

    /**
     * Ids of the configuration items that a note withdraws.
     *
     * @param draining ids of backend servers that no longer drain
     */
    record WithdrawnIds(
            List<String> teams,
            List<String> routes,
            List<String> domains,
            List<String> pools,
            List<String> models,
            List<String> draining) {

        boolean isEmpty() {
            return teams.isEmpty()
                    && routes.isEmpty()
                    && domains.isEmpty()
                    && pools.isEmpty()
                    && models.isEmpty()
                    && draining.isEmpty();
        }
    }
}
