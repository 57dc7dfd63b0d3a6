package io.chivehollow.protocol.openai;

/**
 * The two kinds of generation requests: completions and chat completions.
 *
 * <p>Immutable and thread-safe.
 */
public enum GenerationKind {
    COMPLETION("/v1/completions", "cmpl-", "text_completion", "text_completion"),
    CHAT("/v1/chat/completions", "chatcmpl-", "chat.completion", "chat.completion.chunk");

    private final String path;
    private final String idPrefix;
    private final String responseObject;
    private final String chunkObject;

    GenerationKind(String path, String idPrefix, String responseObject, String chunkObject) {
        this.path = path;
        this.idPrefix = idPrefix;
        this.responseObject = responseObject;
        this.chunkObject = chunkObject;
    }

    /** Returns the HTTP path, the same for callers and engines. */
    public String path() {
        return path;
    }

    String idPrefix() {
        return idPrefix;
    }

    String responseObject() {
        return responseObject;
    }

    String chunkObject() {
        return chunkObject;
    }
}
