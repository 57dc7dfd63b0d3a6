package io.chivehollow.demo;

/**
 * Expected and actual outcome of one step of the demo.
 *
 * <p>Immutable and thread-safe.
 *
 * @param step name of the step
 * @param expected description of the expected outcome
 * @param actual description of the actual outcome
 * @param isPassed whether the actual outcome is the expected one
 */
record Outcome(String step, String expected, String actual, boolean isPassed) {}
