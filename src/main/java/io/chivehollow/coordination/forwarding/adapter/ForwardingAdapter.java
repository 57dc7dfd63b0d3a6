package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/**
 * Translates between one platform and the product; loaded as a service provider and selected by its name.
 *
 * <p>Implementations make no decisions about requests and store no state of them. Thread-safe.
 */
public interface ForwardingAdapter {

    /** Returns the name that selects this adapter in the settings. */
    String name();

    /** Returns the translation of requests and responses. */
    Dialect dialect();

    /** Returns a reader of the platform's list of backend servers at the given address. */
    BackendList backendList(InetSocketAddress address, HttpFetcher fetcher);

    /** Returns the handler of the operators' requests. */
    EndpointHandler operatorHandler(OperatorActions actions);

    /**
     * Returns the handler of the load balancer's readiness checks, which report whether this process accepts new
     * connections.
     */
    EndpointHandler readinessHandler(BooleanSupplier isReady);
}
