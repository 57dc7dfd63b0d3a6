package io.chivehollow.coordination.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.Scheduler;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Shuts a gateway down gracefully.
 *
 * <p>Thread-safe. The steps are: The gateway reports that it is not ready. After {@link #NOT_READY_NOTICE_MS}, in which
 * load balancers stop sending requests, new requests are refused. Open requests finish. Requests that are still open
 * when the shutdown time of the settings is over end with an error and are reported.
 */
final class GatewayShutdown {

    /** Time for load balancers to notice that the gateway is not ready; they usually check readiness every second. */
    static final int NOT_READY_NOTICE_MS = 1_500;

    /** Time allowed for writing the error events of interrupted requests. */
    private static final int FLUSH_MS = 1_000;

    private static final Logger LOG = Logger.getLogger(GatewayShutdown.class);

    private final GatewayCore core;
    private final CompletableFuture<ShutdownReport> done = new CompletableFuture<>();
    private boolean isBegun;
    private List<RequestId> interrupted = List.of();
    private Scheduler.@Nullable Timer timeout;

    GatewayShutdown(GatewayCore core) {
        this.core = core;
    }

    /** Begins the shutdown; further calls return the same future, which completes when the shutdown has ended. */
    synchronized CompletableFuture<ShutdownReport> begin() {
        if (isBegun) {
            return done;
        }
        isBegun = true;
        core.markNotReady();
        int shutdownMs = core.gatewaySettings().shutdownMs();
        LOG.infof(
                "Shutdown started with %d open requests; those still open after %d ms are interrupted",
                core.openRequests().size(), shutdownMs);
        core.scheduler().schedule(Math.min(NOT_READY_NOTICE_MS, shutdownMs / 2), this::stopAccepting);
        timeout = core.scheduler().schedule(shutdownMs, this::onTimeout);
        return done;
    }

    private void stopAccepting() {
        core.stopAccepting();
        if (!core.isEnabled(GatewaySafeguard.SHUTDOWN_DRAIN)) {
            finish();
            return;
        }
        core.openRequests().whenEmpty(() -> core.inFlight().whenZero(this::finish));
    }

    private synchronized void finish() {
        if (done.isDone()) {
            return;
        }
        if (timeout != null) {
            timeout.cancel();
        }
        core.callSession().close();
        LOG.infof("Shutdown completed; %d requests were interrupted", interrupted.size());
        done.complete(new ShutdownReport(interrupted));
    }

    private synchronized void onTimeout() {
        if (done.isDone()) {
            return;
        }
        interrupted = core.openRequests().ids();
        LOG.warnf("Shutdown time is over; interrupting %d open requests: %s", interrupted.size(), interrupted);
        core.scheduler().schedule(FLUSH_MS, this::finish);
        core.openRequests().abandonAll(ErrorCode.SHUTTING_DOWN, "This instance is shutting down");
        core.inFlight().whenZero(this::finish);
    }
}
