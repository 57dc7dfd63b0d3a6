package io.chivehollow.coordination.sidecar;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.chivehollow.coordination.loads.WeightLoadPermit;
import io.chivehollow.coordination.loads.WeightLoadPermits;

/** Permits for weight loads that a test grants one by one. */
final class TestWeightLoadPermits implements WeightLoadPermits {

    private final List<CompletableFuture<Void>> grants = new CopyOnWriteArrayList<>();
    private final AtomicInteger openCount = new AtomicInteger();

    @Override
    public WeightLoadPermit request() {
        CompletableFuture<Void> granted = new CompletableFuture<>();
        openCount.incrementAndGet();
        grants.add(granted);
        return new WeightLoadPermit() {
            @Override
            public CompletableFuture<Void> granted() {
                return granted;
            }

            @Override
            public void close() {
                openCount.decrementAndGet();
            }
        };
    }

    int requestedCount() {
        return grants.size();
    }

    /** Returns the number of requested permits that have not been closed. */
    int openCount() {
        return openCount.get();
    }

    void grant(int position) {
        grants.get(position).complete(null);
    }
}
