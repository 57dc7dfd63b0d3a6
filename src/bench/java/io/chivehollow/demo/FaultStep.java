package io.chivehollow.demo;

import java.io.IOException;
import java.util.List;

/** One step of the fault run. */
interface FaultStep {

    /** Returns the name that is printed with the result. */
    String name();

    /** Returns the counts of the step that are printed with the result; may be empty. */
    default String detail() {
        return "";
    }

    /**
     * Runs the step.
     *
     * @return descriptions of the observed violations; empty if there are none
     * @throws IllegalStateException if an awaited condition is not met in time
     */
    List<String> run() throws IOException;
}
