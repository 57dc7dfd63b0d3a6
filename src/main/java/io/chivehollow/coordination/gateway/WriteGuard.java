package io.chivehollow.coordination.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.WriteTimeoutHandler;
import org.jboss.logging.Logger;

/**
 * Closes the connection of a caller that does not read.
 *
 * <p>Used on the connection's event loop. The caller can detect that the response is incomplete, because the last chunk
 * or a part of the declared length is missing. Closing the connection cancels the request, which releases the memory
 * of the engine.
 */
final class WriteGuard extends WriteTimeoutHandler {

    private static final Logger LOG = Logger.getLogger(WriteGuard.class);

    private final int timeoutMs;

    WriteGuard(int timeoutMs) {
        super(timeoutMs, TimeUnit.MILLISECONDS);
        this.timeoutMs = timeoutMs;
    }

    @Override
    protected void writeTimedOut(ChannelHandlerContext ctx) {
        LOG.infof(
                "Closing the connection of caller %s: it has read no response data for %d ms",
                ctx.channel().remoteAddress(), timeoutMs);
        ctx.close();
    }
}
