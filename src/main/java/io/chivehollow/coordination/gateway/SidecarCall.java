package io.chivehollow.coordination.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ClientCall;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.TransportException;
import org.jboss.logging.Logger;

/**
 * A call to a sidecar whose connection may not be established yet.
 *
 * <p>Invariants: after the owner has called {@link #cancel}, no call is opened, a call that was opened is cancelled,
 * and the listener is not notified any more. If the listener throws an exception, the call is cancelled and the
 * listener is notified of the failure. Thread-safe.
 */
final class SidecarCall {

    private static final Logger LOG = Logger.getLogger(SidecarCall.class);

    private final ConnectionPool connections;
    private final Target target;
    private final Frame.Builder firstFrame;
    private final CallListener listener;
    private final CompletableFuture<ClientCall> opened = new CompletableFuture<>();
    private final AtomicBoolean isCancelled = new AtomicBoolean();

    private SidecarCall(ConnectionPool connections, Target target, Frame.Builder firstFrame, CallListener listener) {
        this.connections = connections;
        this.target = target;
        this.firstFrame = firstFrame;
        this.listener = listener;
    }

    /** Returns a call whose first frame is sent by {@link #open}; the listener also receives connection errors. */
    static SidecarCall create(
            ConnectionPool connections, Target target, Frame.Builder firstFrame, CallListener listener) {
        return new SidecarCall(connections, target, firstFrame, listener);
    }

    /** Sends the first frame as soon as the connection is established. */
    void open() {
        connections.get(target.sidecarAddress()).whenComplete((connection, failure) -> {
            if (failure == null) {
                openOn(connection);
                return;
            }
            if (!isCancelled.get()) {
                listener.onFailure(toTransportException(failure));
            }
        });
    }

    private static TransportException toTransportException(Throwable failure) {
        if (Failures.unwrap(failure) instanceof TransportException transportFailure) {
            return transportFailure;
        }
        return TransportException.notSent(ErrorCode.CONNECTION_LOST, "Cannot connect to the sidecar", failure);
    }

    private void openOn(ClientConnection connection) {
        if (isCancelled.get()) {
            return;
        }
        ClientCall call = connection.open(firstFrame, new CallListener() {
            @Override
            public void onFrame(Frame frame) {
                deliver(frame);
            }

            @Override
            public void onFailure(TransportException failure) {
                if (!isCancelled.get()) {
                    listener.onFailure(failure);
                }
            }
        });
        opened.complete(call);
        if (isCancelled.get()) {
            call.cancel();
        }
    }

    /**
     * Delivers a frame to the listener. An exception there ends only this call, not the connection with its other
     * calls.
     */
    private void deliver(Frame frame) {
        if (isCancelled.get()) {
            return;
        }
        try {
            listener.onFrame(frame);
        } catch (RuntimeException e) {
            LOG.error("Handling a frame from a sidecar failed unexpectedly; this call is cancelled", e);
            cancel();
            listener.onFailure(TransportException.mayHaveRun(ErrorCode.INTERNAL, "Internal error"));
        }
    }

    /** Sends a further frame. */
    void send(Frame.Builder frame) {
        opened.thenAccept(call -> call.send(frame));
    }

    /** Cancels the call; if it has been opened, the sidecar is notified immediately. */
    void cancel() {
        if (isCancelled.compareAndSet(false, true)) {
            opened.thenAccept(ClientCall::cancel);
        }
    }
}
