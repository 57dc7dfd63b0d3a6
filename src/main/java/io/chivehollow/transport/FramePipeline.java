package io.chivehollow.transport;

import io.chivehollow.protocol.wire.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * Builds the channel pipeline that both sides share.
 *
 * <p>Stateless and thread-safe.
 */
final class FramePipeline {

    private static final int LENGTH_BYTES = 4;

    /** Largest frame before the peer is authenticated; bounds the memory that an unauthenticated peer can occupy. */
    static final int MAX_HANDSHAKE_FRAME_BYTES = 1_024;

    private static final String DECODER_NAME = "frameDecoder";

    private FramePipeline() {}

    static void install(Channel channel, HeartbeatHandler heartbeat, ChannelHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(TransportTraffic.counter());
        pipeline.addLast(heartbeat);
        pipeline.addLast(DECODER_NAME, decoder(MAX_HANDSHAKE_FRAME_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(handler);
    }

    /** Raises the limit to the configured frame size; to be called once the peer is authenticated. */
    static void allowLargeFrames(Channel channel, TransportOptions options) {
        channel.pipeline().replace(DECODER_NAME, DECODER_NAME, decoder(options.maxFrameBytes()));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
