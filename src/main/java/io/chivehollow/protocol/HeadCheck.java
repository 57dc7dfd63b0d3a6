package io.chivehollow.protocol;

import java.util.List;
import java.util.Locale;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Finds what the codec accepts in the head of a message although other programs may read it differently (RFC 9112,
 * sections 2 to 6).
 *
 * <p>Belongs to one decoder: {@link #read} gets all bytes that it consumes, {@link #checkDecoded} all that it decodes.
 * Not thread-safe.
 */
public final class HeadCheck {

    private static final Splitter COMMA_SPLITTER = Splitter.on(',').trimResults();
    private static final List<String> CHUNKED = List.of("chunked");
    private static final int SPACES_OF_FIRST_LINE = 2;
    private static final byte DELETE = 127;

    private final boolean isResponse;
    private Position position = Position.BEFORE_HEAD;
    private int spaces;
    private byte previous;
    private boolean hasBlank;
    private boolean hasBody;
    private @Nullable String fault;

    private HeadCheck(boolean isResponse) {
        this.isResponse = isResponse;
    }

    /** Returns a check of requests. */
    public static HeadCheck ofRequests() {
        return new HeadCheck(false);
    }

    /** Returns a check of responses. */
    public static HeadCheck ofResponses() {
        return new HeadCheck(true);
    }

    /** Reads bytes that the decoder has consumed; bytes of bodies are passed over. */
    public void read(ByteBuf buffer, int from, int to) {
        for (int i = from; i < to && !hasBody; i++) {
            read(buffer.getByte(i));
        }
    }

    private void read(byte next) {
        if (next == '\n') {
            if (position != Position.BEFORE_HEAD) {
                position = Position.LINE_START;
            }
            return;
        }
        boolean isBlank = next == ' ' || next == '\t';
        switch (position) {
            case BEFORE_HEAD -> {
                if (next != '\r') {
                    position = Position.FIRST_LINE;
                    spaces = 0;
                    previous = next;
                    check(next > ' ' || next < 0, "bytes before the first line");
                }
            }
            case FIRST_LINE -> readFirstLine(next);
            case LINE_START -> {
                check(!isBlank, "a folded line");
                position = Position.FIELD_NAME;
                hasBlank = false;
            }
            case FIELD_NAME -> {
                if (next == ':') {
                    check(!hasBlank, "a blank in a field name");
                    position = Position.FIELD_VALUE;
                }
                hasBlank |= isBlank;
            }
            default -> {
                // The codec checks values.
            }
        }
    }

    private void readFirstLine(byte next) {
        // The reason phrase may contain any blanks.
        boolean isReason = isResponse && spaces >= SPACES_OF_FIRST_LINE;
        if (next == ' ') {
            spaces++;
            check(isReason || previous != ' ' && spaces <= SPACES_OF_FIRST_LINE, "a further blank in the first line");
        } else {
            boolean isControl = next >= 0 && next < ' ' || next == DELETE;
            check(!isControl || next == '\r' || next == '\t' && isReason, "a control byte in the first line");
        }
        previous = next;
    }

    private void check(boolean isAllowed, String possibleFault) {
        if (!isAllowed && fault == null) {
            fault = possibleFault;
        }
    }

    /** Checks what the decoder has made of the bytes read last; returns the failure of a head. */
    public @Nullable IllegalArgumentException checkDecoded(HttpObject decoded) {
        IllegalArgumentException failure = null;
        if (decoded instanceof HttpMessage head) {
            failure = failure(head);
            hasBody = true;
        }
        if (decoded instanceof LastHttpContent) {
            hasBody = false;
            position = Position.BEFORE_HEAD;
            fault = null;
        }
        return failure;
    }

    private @Nullable IllegalArgumentException failure(HttpMessage head) {
        List<String> fields = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> codings =
                COMMA_SPLITTER.splitToList(String.join(",", fields).toLowerCase(Locale.ROOT));
        boolean isChunked = codings.equals(CHUNKED);
        if (!fields.isEmpty() && !isChunked) {
            String message = "Transfer-Encoding is " + fields;
            boolean isLayered = codings.indexOf(CHUNKED.get(0)) == codings.size() - 1 && !codings.contains("");
            return isLayered ? new UnknownCodingException(message) : new IllegalArgumentException(message);
        }
        if (isChunked && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return new IllegalArgumentException("chunks in HTTP/1.0");
        }
        if (head.protocolVersion().majorVersion() != 1) {
            return new IllegalArgumentException("the version is " + head.protocolVersion());
        }
        return fault == null ? null : new IllegalArgumentException("the head has " + fault);
    }

    private enum Position {
        BEFORE_HEAD,
        FIRST_LINE,
        LINE_START,
        FIELD_NAME,
        FIELD_VALUE
    }

    /** A body has a transfer coding, beneath its chunks, that is not implemented. */
    public static final class UnknownCodingException extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        UnknownCodingException(String message) {
            super(message);
        }
    }
}
