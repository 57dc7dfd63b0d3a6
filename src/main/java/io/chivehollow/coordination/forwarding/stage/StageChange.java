package io.chivehollow.coordination.forwarding.stage;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;

/**
 * A change of what one backend server does with prompts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendServer id of the backend server
 * @param stage what it is to do
 */
public record StageChange(String backendServer, Stage stage) {}
