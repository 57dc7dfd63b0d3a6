package io.chivehollow.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Removes an instance from the replica group, or revokes its admission.
 *
 * <p>Not thread-safe.
 */
@Command(name = "remove", description = "Remove an instance from the replica group, or revoke its admission")
public final class ReplicaRemoveCommand extends ReplicaChangeCommand {

    /** Creates the command; called by the command line parser. */
    public ReplicaRemoveCommand() {
        super("remove");
    }
}
