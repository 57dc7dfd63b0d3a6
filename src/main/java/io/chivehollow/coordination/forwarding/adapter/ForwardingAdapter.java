package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/**
 * Translates between one platform and the product; found by its name among the service providers.
 *
 * <p>Implementations decide nothing about requests and keep no state of them. Thread-safe.
 */
public interface ForwardingAdapter {

    /** Returns the name by which the settings choose this adapter. */
    String name();

    /** Returns the translation of requests and answers. */
    Dialect dialect();

    /** Returns a reader of the platform's list of backend servers. */
    BackendList backendList(InetSocketAddress address, HttpFetcher fetcher);

    /** Returns the handler of the operator's calls. */
    EndpointHandler operatorHandler(OperatorActions actions);

    /** Returns the handler of the load balancer's question whether this process takes new connections. */
    EndpointHandler readinessHandler(BooleanSupplier isReady);
}
