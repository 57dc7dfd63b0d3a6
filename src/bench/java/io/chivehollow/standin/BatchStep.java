package io.chivehollow.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * One step of the continuous batching of a simulated engine: one output token for each request in decode, and chunks of
 * the prompts in prefill.
 *
 * <p>Immutable. All requests in the batch wait for the whole step, so prompt tokens delay the output tokens of the
 * other requests. The chunks of a step have at most {@code chunkTokens} tokens in total, the oldest request first.
 *
 * @param chunks chunks of prompts that the step prefills
 * @param durationMs duration of the step in a warm engine, in milliseconds, before {@code timeScale} is applied
 */
record BatchStep(List<Chunk> chunks, double durationMs) {

    /** Returns the next step; {@code jobs} must be in the order of arrival. */
    static BatchStep plan(Collection<EngineJob> jobs, EngineOptions options) {
        int decodingJobs = 0;
        int remainingTokens = options.chunkTokens();
        List<Chunk> chunks = new ArrayList<>();
        for (EngineJob job : jobs) {
            if (job.state == EngineJob.State.DECODE) {
                decodingJobs++;
            } else if (job.state == EngineJob.State.PREFILL && remainingTokens > 0) {
                int tokens = Math.min(remainingTokens, job.promptTokens - job.prefilledTokens);
                chunks.add(new Chunk(job, tokens));
                remainingTokens -= tokens;
            }
        }
        double prefillMs = options.prefillUsPerToken() * (options.chunkTokens() - remainingTokens) / 1000;
        return new BatchStep(
                List.copyOf(chunks), options.stepMs() + options.stepPerRequestMs() * decodingJobs + prefillMs);
    }

    /** The next {@code tokens} tokens of a job's prompt; the job is not thread-safe. */
    record Chunk(EngineJob job, int tokens) {}
}
