package io.chivehollow.cli;

import java.security.SecureRandom;

import com.github.rvesse.airline.annotations.Command;
import io.chivehollow.base.Clock;
import io.chivehollow.state.machine.IdempotencyKey;

/**
 * Prints a new idempotency key, a UUID of version 7.
 *
 * <p>Not thread-safe.
 */
@Command(name = "idempotency-key", description = "Print a new idempotency key (UUID version 7)")
public final class IdempotencyKeyCommand implements CliCommand {

    @Override
    public int run() {
        System.out.println(IdempotencyKey.create(Clock.system().currentTimeMs(), new SecureRandom())
                .text());
        return ExitCode.SUCCESS;
    }
}
