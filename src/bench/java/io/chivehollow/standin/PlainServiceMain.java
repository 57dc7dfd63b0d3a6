package io.chivehollow.standin;

import java.util.Locale;
import java.util.Set;

/** Runs a simulated plain service as a process and prints its address. */
public final class PlainServiceMain {

    private PlainServiceMain() {}

    /** Starts the service with the options of the command line and runs until the process is terminated. */
    public static void main(String[] args) throws InterruptedException {
        StandInArguments arguments =
                StandInArguments.parse(args, Set.of("port", "name", "delay-ms", "failure", "fail-path"));
        PlainServiceOptions defaults = PlainServiceOptions.defaults();
        String failure = arguments.text("failure", defaults.failure().name());
        PlainServiceOptions options = new PlainServiceOptions(
                arguments.integer("port", defaults.port()),
                arguments.text("name", defaults.name()),
                arguments.integer("delay-ms", defaults.delayMs()),
                PlainServiceOptions.Failure.valueOf(
                        failure.toUpperCase(Locale.ROOT).replace('-', '_')),
                arguments.text("fail-path", defaults.failPath()));
        StandInPlainService service = StandInPlainService.start(options);
        System.out.println("listening at 127.0.0.1:" + service.address().getPort());
        Thread.currentThread().join();
    }
}
