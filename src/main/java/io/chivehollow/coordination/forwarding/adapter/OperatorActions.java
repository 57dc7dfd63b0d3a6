package io.chivehollow.coordination.forwarding.adapter;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.protocol.wire.Deployment;

/**
 * The actions that operators may request.
 *
 * <p>Each future fails with a {@link io.chivehollow.base.ChivehollowException} if the replicas do not respond in time.
 * Implementations are thread-safe.
 */
public interface OperatorActions {

    /**
     * Publishes a deployment together with the document from which it was parsed. A deployment whose revision is not
     * higher than the published one changes nothing. The future completes with the published revision once that is
     * durable.
     */
    CompletableFuture<Long> publish(Deployment deployment, byte[] document);

    /** Returns the document of the newest deployment, or an empty value if none has been published. */
    CompletableFuture<Optional<byte[]>> document();

    /**
     * Takes a failure domain out of service or puts it back into service, unless the caller has stopped waiting or the
     * failure domains change meanwhile. The future fails then, because the caller may have issued a later request at
     * another instance, which an earlier one must not undo.
     */
    CompletableFuture<Void> setDomain(FailureDomain domain, boolean isOutOfService, EndpointHandler.Caller caller);
}
