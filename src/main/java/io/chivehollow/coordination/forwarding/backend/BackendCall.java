package io.chivehollow.coordination.forwarding.backend;

import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.forwarding.backend.BackendListener.Failure;
import io.chivehollow.protocol.RequestReadCheck;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * A request that was sent to a backend server.
 *
 * <p>Invariant: the listener is notified of at most one end, and of none after {@link #cancel}. Used on the event loop
 * of the forwarding role only.
 */
public final class BackendCall {

    private final BackendConnections connections;
    private final RequestReadCheck readCheck = RequestReadCheck.create();
    final Backend backend;
    final BackendListener listener;
    final @Nullable String requestId;
    final boolean isOwn;
    private @Nullable Channel channel;
    private @Nullable ScheduledFuture<?> timer;
    private boolean isEnded;
    private boolean isKept;
    private long idleTimeoutMs = -1;
    private RunWitness.@Nullable Observation observation;

    BackendCall(
            BackendConnections connections,
            Backend backend,
            BackendListener listener,
            @Nullable String requestId,
            boolean isOwn) {
        this.connections = connections;
        this.backend = backend;
        this.listener = listener;
        this.requestId = requestId;
        this.isOwn = isOwn;
    }

    /** Returns whether a response that states the given request id, or none, may belong to this request. */
    boolean mayBeAnsweredBy(@Nullable String statedId) {
        return statedId == null || statedId.equals(requestId);
    }

    /** Returns whether the connection may be reused after a response that states the given request id, or none. */
    boolean mayReuseAfter(@Nullable String statedId) {
        return isOwn || statedId != null;
    }

    void write(Channel open, FullHttpRequest request, BackendHandler handler) {
        channel = open;
        int bodyBytes = request.content().readableBytes();
        ChannelFuture writing = open.writeAndFlush(request);
        readCheck.onWrite(writing, bodyBytes);
        writing.addListener(written -> {
            if (!written.isSuccess()) {
                handler.onWriteFailure(written.cause());
            }
        });
        if (!isEnded) {
            listener.onWritten();
        }
    }

    void failAfter(EventLoop loop, int timeoutMs) {
        if (!isEnded) {
            timer = loop.schedule(
                    () -> fail(Failure.NO_ANSWER, "no complete response within " + timeoutMs + " ms"),
                    timeoutMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether the whole request was written to the transport. */
    boolean isRequestWritten() {
        return readCheck.isWritten();
    }

    private void end() {
        isEnded = true;
        endObservation();
        if (timer != null) {
            timer.cancel(false);
        }
    }

    boolean isEnded() {
        return isEnded;
    }

    /**
     * Sets the idle timeout in milliseconds that the backend server states for connections, or -1 if it states none.
     */
    public void setIdleTimeoutMs(long timeoutMs) {
        idleTimeoutMs = timeoutMs;
        backend.setIdleTimeoutMs(timeoutMs);
    }

    /**
     * Starts or stops to read the response. While it is not read, the server can send no more than fits into the
     * buffers of the connection.
     */
    public void setReading(boolean isReading) {
        if (!isEnded && channel != null) {
            channel.config().setAutoRead(isReading);
        }
    }

    /** Returns the bytes of the request that the backend server has not taken yet. */
    public long pendingBytes() {
        if (channel == null) {
            return 0;
        }
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    /** Cancels the request; closing the connection makes the backend server stop its work. */
    public void cancel() {
        if (!isEnded) {
            end();
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** Records what the server states about itself in an interim response. */
    void readInterim(HttpResponse head) {
        connections.readHead(backend, head);
    }

    /** Leaves the connection to the listener instead of the idle connections if it can be reused. */
    void keepChannel() {
        isKept = true;
    }

    /** Returns the connection of a complete call that keeps it, if it can be reused. */
    @Nullable
    Channel reusableChannel() {
        return isKept ? channel : null;
    }

    /** Observes the run of the backend server until the call has ended or the end of its response is stated. */
    void observeRun(RunWitness.Observation started) {
        observation = started;
    }

    void endObservation() {
        if (observation != null) {
            observation.end();
        }
    }

    /**
     * Completes a response whose end only the connection marks, if the run that sent it is shown to have read the
     * request and to be alive. The first check takes longer than a process that ends needs to close its connections.
     */
    void completeIfRunIsAlive() {
        if (isEnded) {
            return;
        }
        if (observation == null) {
            fail(Failure.BROKEN_ANSWER, "the connection ended, and the run of the server was not observed");
            return;
        }
        RunWitness.Observation observed = observation;
        checkRead(() -> observed.checkAlive(this::onRunChecked));
    }

    /** Completes a response whose content shows its end, if the server is shown to have read the request. */
    void completeIfRead() {
        if (isOwn) {
            complete(false);
        } else if (!isEnded) {
            checkRead(() -> complete(false));
        }
    }

    private void checkRead(Runnable onRead) {
        readCheck.check(channel, hasRead -> {
            if (isEnded) {
                return;
            }
            if (hasRead) {
                onRead.run();
            } else {
                fail(Failure.BROKEN_ANSWER, "the connection ended, and the request is not shown to have been read");
            }
        });
    }

    private void onRunChecked(boolean isAlive) {
        if (isEnded) {
            return;
        }
        listener.onConnectionEnd(
                backend.listState() + (isAlive ? ", its run is alive" : ", its run is not shown to be alive"));
        if (isAlive) {
            complete(false);
        } else {
            fail(Failure.BROKEN_ANSWER, "the connection ended, and the run is not shown to be alive");
        }
    }

    void complete(boolean isReusable) {
        if (isEnded) {
            return;
        }
        end();
        if (isKept) {
            isKept = isReusable;
        } else if (isReusable && channel != null) {
            connections.returnIdle(backend, channel, idleTimeoutMs, isOwn);
        } else if (channel != null) {
            channel.close();
        }
        listener.onEnd();
    }

    /** Fails the call and closes its connection, unless it has ended. */
    public void fail(Failure failure, String reason) {
        if (isEnded) {
            return;
        }
        end();
        if (channel != null) {
            channel.close();
        }
        listener.onFailure(failure, reason);
    }
}
