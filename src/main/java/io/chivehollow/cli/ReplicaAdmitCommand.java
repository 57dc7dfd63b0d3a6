package io.chivehollow.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Admits an instance to the replica group.
 *
 * <p>Not thread-safe.
 */
@Command(name = "admit", description = "Admit an instance to the replica group; it votes once it has caught up")
public final class ReplicaAdmitCommand extends ReplicaChangeCommand {

    /** Creates the command; called by the command line parser. */
    public ReplicaAdmitCommand() {
        super("admit");
    }
}
