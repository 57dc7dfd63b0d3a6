package io.chivehollow.cli;

import java.util.Arrays;
import java.util.Objects;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.chivehollow.base.ChivehollowException;

/**
 * Entry point of the chivehollow command.
 *
 * <p>Stateless and thread-safe.
 */
@Cli(
        name = "chivehollow",
        description = "Router for separate prefill and decode pools",
        commands = {
            RunCommand.class,
            CheckCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            EngineCommand.class,
            IdempotencyKeyCommand.class,
            HelpCommand.class,
            VersionCommand.class
        },
        groups = {
            @Group(
                    name = "release",
                    description = "Apply release notes and show the state in effect",
                    defaultCommand = ReleaseShowCommand.class,
                    commands = {
                        ReleaseApplyCommand.class,
                        ReleaseShowCommand.class,
                        ReleaseLogCommand.class,
                        ReleaseDiffCommand.class
                    }),
            @Group(
                    name = "key",
                    description = "Create and withdraw API keys",
                    defaultCommand = Help.class,
                    commands = {KeyCreateCommand.class, KeyWithdrawCommand.class}),
            @Group(
                    name = "domain",
                    description = "Take failure domains out of service and bring them back",
                    defaultCommand = Help.class,
                    commands = {DomainOutCommand.class, DomainInCommand.class}),
            @Group(
                    name = "replica",
                    description = "Show the replica group and change its members one at a time",
                    defaultCommand = ReplicaListCommand.class,
                    commands = {ReplicaAdmitCommand.class, ReplicaRemoveCommand.class, ReplicaListCommand.class})
        })
public final class Main {

    private Main() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] args) {
        int exitCode = run(args);
        if (exitCode != ExitCode.SUCCESS) {
            System.exit(exitCode);
        }
    }

    /** Runs one command and returns its exit code. */
    static int run(String... args) {
        com.github.rvesse.airline.Cli<Object> cli = new com.github.rvesse.airline.Cli<>(Main.class);
        try {
            Object command = cli.parse(normalize(args));
            if (command instanceof CliCommand runnable) {
                return runnable.run();
            }
            ((Runnable) command).run();
            return ExitCode.SUCCESS;
        } catch (ParseException e) {
            System.err.println("chivehollow: " + e.getMessage());
            System.err.println("Run \"chivehollow help\" for the list of commands.");
            return ExitCode.INVALID;
        } catch (CliException e) {
            System.err.println("chivehollow: " + e.getMessage());
            return e.exitCode();
        } catch (ChivehollowException e) {
            System.err.println(
                    "chivehollow: " + e.code().wireName() + ": " + Objects.requireNonNullElse(e.getMessage(), ""));
            return ExitCode.FAILURE;
        }
    }

    /** Maps the conventional options for help and version to the commands of the same name. */
    private static String[] normalize(String[] args) {
        if (args.length == 0) {
            return new String[] {"help"};
        }
        return switch (args[0]) {
            case "--help", "-h" -> new String[] {"help"};
            case "--version" -> new String[] {"version"};
            default -> Arrays.copyOf(args, args.length);
        };
    }
}
