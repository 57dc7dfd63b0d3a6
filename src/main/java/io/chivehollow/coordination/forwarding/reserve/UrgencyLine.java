package io.chivehollow.coordination.forwarding.reserve;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.queue.RequestOrder;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import io.chivehollow.coordination.forwarding.queue.WaitingRequest;

/**
 * Serves requests in the order of {@link RequestOrder}.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class UrgencyLine implements WaitingLine {

    /** Pause in milliseconds after all backend servers have refused the most urgent request. */
    private static final int PAUSE_MS = 25;

    /** Used for requests that were added before the deployment distinguished priorities. */
    private static final Urgency DEFAULT_URGENCY = new Urgency(0, "", 0);

    private final RequestOrder<QueuedMemoryRequest> order = RequestOrder.create();
    private final Map<QueuedMemoryRequest, WaitingRequest> requests = new LinkedHashMap<>();

    @Override
    public void add(QueuedMemoryRequest queued, long nowNanos) {
        Urgency urgency = queued.request.urgency();
        WaitingRequest request = new WaitingRequest(
                urgency == null ? DEFAULT_URGENCY : urgency,
                Math.max(1, queued.request.tokens()),
                queued.arrivalNanos,
                queued.expiryNanos(),
                queued.request.isLate());
        requests.put(queued, request);
        order.add(queued, request, nowNanos);
    }

    @Override
    public List<QueuedMemoryRequest> candidates(long nowNanos) {
        return order.candidates(nowNanos);
    }

    @Override
    public long requiredTokens(QueuedMemoryRequest queued, long nowNanos) {
        return order.requiredSize(request(queued), queued.request.serverTokens(), nowNanos);
    }

    @Override
    public List<QueuedMemoryRequest> hopeless(long nowNanos) {
        return order.hopeless(nowNanos);
    }

    @Override
    public int countBefore(QueuedMemoryRequest queued, long nowNanos) {
        return order.countBefore(queued, nowNanos);
    }

    @Override
    public long drainNanos(long nowNanos) {
        return order.drainNanos(nowNanos);
    }

    @Override
    public long pauseMs(long nowNanos) {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(order.nextDueNanos(nowNanos)));
    }

    @Override
    public void onUnplaced(QueuedMemoryRequest queued, long nowNanos) {
        order.onUnplaced(queued, nowNanos);
    }

    @Override
    public void onReleased(long nowNanos) {
        order.onReleased(nowNanos);
    }

    @Override
    public void onTried(QueuedMemoryRequest queued, long nowNanos) {
        order.setTried(queued, true);
    }

    @Override
    public void onReturned(QueuedMemoryRequest queued, long nowNanos) {
        order.setTried(queued, false);
    }

    @Override
    public void onMemoryFull(long nowNanos) {
        order.onRefused(nowNanos);
    }

    @Override
    public void onDone(QueuedMemoryRequest queued, boolean isServed, long nowNanos) {
        WaitingRequest request = requests.remove(queued);
        order.remove(queued, nowNanos);
        if (isServed && request != null) {
            order.onServed(request, nowNanos);
        }
    }

    @Override
    public Collection<QueuedMemoryRequest> untried() {
        return order.untried();
    }

    private WaitingRequest request(QueuedMemoryRequest queued) {
        WaitingRequest request = requests.get(queued);
        if (request == null) {
            throw new IllegalArgumentException("The request does not wait");
        }
        return request;
    }
}
