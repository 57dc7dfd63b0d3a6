package io.chivehollow.coordination.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Ranks the backend servers that may process a request.
 *
 * <p>Implementations have no external side effects. A ranking contains each candidate at most once; an empty ranking
 * means that the request may be sent to no candidate. Backend servers that are draining or in a failure domain out of
 * service are excluded by the caller if the configuration says so, and by the policy if their reported load says so.
 */
public interface PlacementPolicy {

    /** Returns the candidates in the order in which the request is to be sent to them. */
    List<Candidate> rank(PlacementRequest request, List<Candidate> candidates, RandomGenerator random);
}
