package io.chivehollow.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Unrestricted;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;

/**
 * Prints the list of commands or the help of one command.
 *
 * <p>Not thread-safe.
 */
@Command(name = "help", description = "Print help, for all commands or for one")
public final class HelpCommand implements CliCommand {

    @AirlineModule
    GlobalMetadata<Object> global;

    @Unrestricted
    @Arguments(title = "command", description = "Command to describe")
    List<String> words = new ArrayList<>();

    @Override
    public int run() {
        try {
            Help.help(global, words);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (words.isEmpty()) {
            System.out.println("Exit codes: 0 success, 1 failure, 2 invalid settings, arguments or document, "
                    + "3 refused, 4 unreachable.");
        }
        return ExitCode.SUCCESS;
    }
}
