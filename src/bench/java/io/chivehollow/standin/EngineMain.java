package io.chivehollow.standin;

/** Runs a simulated engine as a process and prints its address. */
public final class EngineMain {

    private EngineMain() {}

    /** Starts the engine with the options of the command line and runs until the process is terminated. */
    public static void main(String[] args) throws InterruptedException {
        StandInEngine engine = StandInEngine.start(EngineOptions.parse(args));
        System.out.println("listening at 127.0.0.1:" + engine.address().getPort());
        Thread.currentThread().join();
    }
}
