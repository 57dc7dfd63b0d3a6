package io.chivehollow.coordination.forwarding.pressure;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * Selects the request whose loss costs its caller and the backend servers least.
 *
 * <p>Load: callers that read slowly, callers that send large bodies and backend servers that read slowly, more than the
 * memory of the process can hold. Stateless and thread-safe.
 */
public final class LetGoOrder {

    /** Time in milliseconds without progress after which a response is likely to be of no use to its caller. */
    static final long STALL_MS = 2_000;

    /** Requests that hold fewer bytes free nothing that matters. */
    private static final long MIN_FREED_BYTES = 4_096;

    /** The least costly request first: the least urgent, the one that has stalled for longest, the largest. */
    private static final Comparator<HeldRequest> ORDER = Comparator.comparing(LetGoOrder::cost)
            .thenComparing(HeldRequest::priority, Comparator.reverseOrder())
            .thenComparing(HeldRequest::stalledMs, Comparator.reverseOrder())
            .thenComparing(HeldRequest::heldBytes, Comparator.reverseOrder());

    private LetGoOrder() {}

    /** What is lost with a request, in increasing order. */
    enum Cost {
        /** The other side does not read; the request may run again. */
        STALLED,
        /** The caller sends its body again. */
        UPLOAD,
        /** The request waits again. */
        WAIT,
        /** A part of the work of a backend server. */
        PARTIAL_RESPONSE,
        /** All work of a backend server. */
        COMPLETE_RESPONSE,
        /** All work of a backend server, and the caller has received nothing. */
        RUN,
        /** The caller cannot know whether its call has taken effect. */
        OUTCOME,
        /** The same, although the outcome is known and only has to be delivered. */
        KNOWN_OUTCOME
    }

    /** Returns the item whose request costs least, or an empty value if no request holds bytes worth freeing. */
    public static <T> Optional<T> leastCostly(Collection<T> items, Function<T, HeldRequest> request) {
        return items.stream()
                .map(item -> new Choice<>(item, request.apply(item)))
                .filter(choice -> choice.request.heldBytes() >= MIN_FREED_BYTES)
                .min(Comparator.comparing(Choice::request, ORDER))
                .map(Choice::item);
    }

    static Cost cost(HeldRequest request) {
        boolean isStalled = request.stalledMs() >= STALL_MS;
        return switch (request.stage()) {
            case RECEIVING -> Cost.UPLOAD;
            case WAITING -> Cost.WAIT;
            case RUNNING -> request.isRepeatable() ? isStalled ? Cost.PARTIAL_RESPONSE : Cost.RUN : Cost.OUTCOME;
            case RESPONDING -> request.isRepeatable() ? isStalled ? Cost.STALLED : Cost.PARTIAL_RESPONSE : Cost.OUTCOME;
            case DELIVERING -> request.isRepeatable()
                    ? isStalled ? Cost.STALLED : Cost.COMPLETE_RESPONSE
                    : Cost.KNOWN_OUTCOME;
        };
    }

    private record Choice<T>(T item, HeldRequest request) {}
}
