package io.chivehollow.coordination.forwarding.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Counts the bytes that arrive on the connection to a backend server, before they are decoded.
 *
 * <p>A decoder reports nothing while it skips or collects the bytes of an incomplete element, so a limit behind it
 * would not see them. Used on the event loop of the connection.
 */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {

    private final BackendHandler handler;

    ReceivedBytes(BackendHandler handler) {
        this.handler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf data)) {
            context.fireChannelRead(message);
            return;
        }
        if (!handler.isWaiting()) {
            data.release();
            context.close();
            return;
        }
        handler.count(data.readableBytes());
        context.fireChannelRead(data);
        handler.checkLimits();
    }

    /** The decoder ends a response of no stated length at this event. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            handler.onInputEnd();
        }
        context.fireUserEventTriggered(event);
    }
}
