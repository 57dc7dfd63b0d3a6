package io.chivehollow.coordination.sidecar;

import java.util.ArrayDeque;
import java.util.Queue;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.loads.WeightLoadPermit;
import io.chivehollow.protocol.engine.CommandResponse;
import io.chivehollow.protocol.engine.HttpEngineClient;
import io.chivehollow.protocol.engine.ManagementCommand;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Order;
import io.chivehollow.protocol.wire.OrderResult;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jspecify.annotations.Nullable;

/**
 * Sends management commands, such as role changes and model loads, to the engine in the order of their fencing numbers.
 *
 * <p>Used on the sidecar's event loop. Some engines ignore fencing numbers, so the sidecar enforces them. Invariants:
 * no command is sent after one with a higher number; at most one command is open, so that the engine cannot receive two
 * commands in the wrong order; a command that loads weights is sent only with a permit, which is held until the engine
 * has responded.
 */
final class ManagementCommands {

    private static final int MAX_QUEUED = 100;

    private final SidecarContext context;
    private final Queue<QueuedCommand> queue = new ArrayDeque<>();
    private long highestFencingNumber;
    private boolean isStartNumberSet;
    private boolean isCommandOpen;

    /** The open command while it waits for the permit to load weights. */
    private @Nullable QueuedCommand awaitingPermit;

    /** The permit of the open command if it loads weights. */
    private @Nullable WeightLoadPermit weightLoadPermit;

    ManagementCommands(SidecarContext context) {
        this.context = context;
    }

    /** Sets a fencing number that is higher than all numbers issued before this process started. */
    void setStartNumber(long fencingNumber) {
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        isStartNumberSet = true;
    }

    long highestFencingNumber() {
        return highestFencingNumber;
    }

    ServerCallListener open(ServerCall call, Order order) {
        context.runFirstTask(call, () -> add(call, order));
        return new ServerCallListener() {
            @Override
            public void onCancel() {
                context.run(() -> cancel(call));
            }
        };
    }

    /** Cancels a command that has not been sent; a command that has been sent cannot be cancelled. */
    private void cancel(ServerCall call) {
        queue.removeIf(command -> command.call() == call);
        QueuedCommand next = awaitingPermit;
        if (next != null && next.call() == call) {
            end(next);
        }
    }

    private void add(ServerCall call, Order order) {
        ManagementCommand.CommandKind kind =
                ManagementCommand.CommandKind.of(order.getKind()).orElse(null);
        if (kind == null) {
            context.fail(
                    call, ErrorCode.INVALID_REQUEST, "Unknown kind of management command: " + order.getKind(), true);
            return;
        }
        if (!isStartNumberSet && context.isEnabled(SidecarSafeguard.FENCING)) {
            context.fail(
                    call,
                    ErrorCode.NO_QUORUM,
                    "The sidecar has not read yet which fencing numbers were issued before it started",
                    true);
            return;
        }
        if (queue.size() >= MAX_QUEUED) {
            context.fail(call, ErrorCode.OVERLOADED, "The queue of management commands is full", true);
            return;
        }
        queue.add(new QueuedCommand(call, new ManagementCommand(kind, order.getArgument(), order.getFencingNumber())));
        advance();
    }

    private void advance() {
        while (!isCommandOpen && !queue.isEmpty()) {
            send(queue.remove());
        }
    }

    private void send(QueuedCommand next) {
        long number = next.command().fencingNumber();
        if (number < highestFencingNumber && context.isEnabled(SidecarSafeguard.FENCING)) {
            sendResult(
                    next.call(),
                    false,
                    "Fencing number " + number + " is lower than the highest one received, " + highestFencingNumber);
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, number);
        isCommandOpen = true;
        if (!next.command().kind().loadsWeights()) {
            execute(next);
            return;
        }
        awaitingPermit = next;
        WeightLoadPermit requested = context.weightLoadPermits().request();
        weightLoadPermit = requested;
        requested
                .granted()
                .thenRun(() -> context.run(() -> {
                    if (awaitingPermit == next) {
                        execute(next);
                    }
                }));
    }

    private void execute(QueuedCommand next) {
        awaitingPermit = null;
        context.engine()
                .command(next.command())
                .whenComplete((response, failure) -> context.run(() -> {
                    onEngineResponse(next.call(), response, failure);
                    end(next);
                }));
    }

    private void end(QueuedCommand ended) {
        if (awaitingPermit == ended) {
            awaitingPermit = null;
        }
        WeightLoadPermit openPermit = weightLoadPermit;
        if (openPermit != null) {
            openPermit.close();
            weightLoadPermit = null;
        }
        isCommandOpen = false;
        advance();
    }

    private void onEngineResponse(ServerCall call, @Nullable CommandResponse response, @Nullable Throwable failure) {
        if (response != null) {
            sendResult(call, response.isAccepted(), response.message());
        } else if (failure != null) {
            var exception = HttpEngineClient.failureOf(failure);
            context.fail(call, exception.code(), exception.getMessage(), exception.isNotRun());
        }
    }

    private void sendResult(ServerCall call, boolean isAccepted, String message) {
        call.finish(Frame.newBuilder()
                .setOrderResult(OrderResult.newBuilder()
                        .setAccepted(isAccepted)
                        .setMessage(message)
                        .setHighestFencingNumber(highestFencingNumber)));
    }

    private record QueuedCommand(ServerCall call, ManagementCommand command) {}
}
