package io.chivehollow.demo;

import java.util.List;

/**
 * Result of one step of the fault run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param step name of the step
 * @param violations descriptions of the observed violations of the documented behaviour; empty if the step passed
 */
record FaultResult(String step, List<String> violations) {

    FaultResult {
        violations = List.copyOf(violations);
    }

    /** Prints one line for the step and one for each violation, and returns the result. */
    static FaultResult print(String step, String detail, List<String> violations) {
        System.out.println(
                (violations.isEmpty() ? "passed: " : "FAILED: ") + step + (detail.isEmpty() ? "" : "; " + detail));
        violations.forEach(violation -> System.out.println("  " + violation));
        return new FaultResult(step, violations);
    }

    boolean isPassed() {
        return violations.isEmpty();
    }
}
