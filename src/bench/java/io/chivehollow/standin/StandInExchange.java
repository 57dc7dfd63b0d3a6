package io.chivehollow.standin;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One HTTP request to a stand-in and its response.
 *
 * <p>Thread-safe. Every response closes its connection, except those of {@link #respondAndKeepOpen}, so that a closed
 * connection always means that one request has ended.
 */
final class StandInExchange {

    private final Channel channel;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final boolean isKeepAlive;
    private final byte[] body;
    private final Map<String, String> fixedHeaders;
    private final AtomicBoolean isStarted = new AtomicBoolean();
    private final AtomicBoolean isEnded = new AtomicBoolean();

    StandInExchange(Channel channel, FullHttpRequest request, Map<String, String> fixedHeaders) {
        this.channel = channel;
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = request.headers().copy();
        this.isKeepAlive = HttpUtil.isKeepAlive(request);
        byte[] bytes = new byte[request.content().readableBytes()];
        request.content().readBytes(bytes);
        this.body = bytes;
        this.fixedHeaders = fixedHeaders;
    }

    String method() {
        return method;
    }

    String uri() {
        return uri;
    }

    String path() {
        return new QueryStringDecoder(uri).path();
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body.clone();
    }

    /** Runs the action when the connection is closed before the response has ended. */
    void onDisconnect(Runnable action) {
        channel.closeFuture().addListener(closed -> {
            if (!isEnded.get()) {
                action.run();
            }
        });
    }

    /** Sends a complete response and closes the connection; does nothing if a response was started before. */
    void respond(int status, String contentType, String text) {
        respond(status, contentType, text, false);
    }

    /** Responds and leaves the connection open for the next request, as engines do unless the request forbids it. */
    void respondAndKeepOpen(int status, String contentType, String text) {
        respond(status, contentType, text, isKeepAlive);
    }

    private void respond(int status, String contentType, String text, boolean isKeptOpen) {
        if (!isStarted.compareAndSet(false, true)) {
            return;
        }
        isEnded.set(true);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        HttpUtil.setKeepAlive(response, isKeptOpen);
        fixedHeaders.forEach((name, value) -> response.headers().set(name, value));
        ChannelFuture written = channel.writeAndFlush(response);
        if (!isKeptOpen) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    void respondJson(int status, Object value) {
        respond(status, "application/json", StandInJson.write(value));
    }

    /** Sends one server-sent event, preceded by the header of the response if the event is the first. */
    void sendEvent(String data) {
        if (isStarted.compareAndSet(false, true)) {
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            fixedHeaders.forEach((name, value) -> response.headers().set(name, value));
            channel.write(response);
        }
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    void endEventStream() {
        if (isEnded.compareAndSet(false, true)) {
            channel.writeAndFlush(new DefaultLastHttpContent()).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Closes the connection without ending the response. */
    void abortConnection() {
        isEnded.set(true);
        channel.close();
    }
}
