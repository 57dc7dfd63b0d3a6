/**
 * The sidecar, which runs beside each backend server and receives all its calls.
 *
 * <p>It admits and queues requests, streams responses, cancels requests in the backend server, and reconciles its state
 * with the backend server after a restart of either. The engine is the backend server that runs a language model; an
 * ordinary service is a backend server that runs none. A load of weights is the loading of a model or adapter into the
 * engine from the weight store, not the load of a server.
 */
@NullMarked
package io.chivehollow.coordination.sidecar;

import org.jspecify.annotations.NullMarked;
