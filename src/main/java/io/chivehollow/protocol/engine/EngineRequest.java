package io.chivehollow.protocol.engine;

import io.chivehollow.base.RequestId;

/**
 * A completion request to an engine.
 *
 * <p>Immutable and thread-safe, provided that the body's bytes are not changed.
 *
 * @param id id of the request at the engine; unique among all calls to that engine
 * @param path HTTP path of the call
 * @param body OpenAI request body in JSON
 */
public record EngineRequest(RequestId id, String path, byte[] body) {}
