package io.chivehollow.transport;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes on all connections of this process, without IP and TCP headers.
 *
 * <p>Thread-safe.
 */
public final class TransportTraffic {

    private static final LongAdder SENT_BYTES = new LongAdder();
    private static final LongAdder RECEIVED_BYTES = new LongAdder();

    private TransportTraffic() {}

    /** Returns the number of bytes sent since the start of the process. */
    public static long sentBytes() {
        return SENT_BYTES.sum();
    }

    /** Returns the number of bytes received since the start of the process. */
    public static long receivedBytes() {
        return RECEIVED_BYTES.sum();
    }

    static ChannelHandler counter() {
        return Counter.INSTANCE;
    }

    @ChannelHandler.Sharable
    private static final class Counter extends ChannelDuplexHandler {

        static final Counter INSTANCE = new Counter();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf bytes) {
                RECEIVED_BYTES.add(bytes.readableBytes());
            }
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                SENT_BYTES.add(bytes.readableBytes());
            }
            ctx.write(message, promise);
        }
    }
}
