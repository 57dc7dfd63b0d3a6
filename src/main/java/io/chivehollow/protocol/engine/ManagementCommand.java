package io.chivehollow.protocol.engine;

import java.util.Locale;
import java.util.Optional;

/**
 * A command that changes what an engine serves.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind kind of the command
 * @param argument name of the model, adapter or role
 * @param fencingNumber number that orders the commands of several senders; lower numbers are older
 */
public record ManagementCommand(Kind kind, String argument, long fencingNumber) {

    /** The kinds of commands. */
    public enum Kind {
        LOAD_ADAPTER("/v1/load_lora_adapter", "lora_name", true),
        LOAD_MODEL("/admin/load_model", "model", true),
        SET_ROLE("/admin/role", "role", false);

        private final String path;
        private final String argumentField;
        private final boolean loadsWeights;

        Kind(String path, String argumentField, boolean loadsWeights) {
            this.path = path;
            this.argumentField = argumentField;
            this.loadsWeights = loadsWeights;
        }

        /** Returns whether the engine reads from the weight store to carry out the command. */
        public boolean loadsWeights() {
            return loadsWeights;
        }

        String path() {
            return path;
        }

        String argumentField() {
            return argumentField;
        }

        /** Returns the kind with the given name in any case, if there is one. */
        public static Optional<Kind> of(String name) {
            for (Kind kind : values()) {
                if (kind.name().equals(name.toUpperCase(Locale.ROOT))) {
                    return Optional.of(kind);
                }
            }
            return Optional.empty();
        }
    }
}
