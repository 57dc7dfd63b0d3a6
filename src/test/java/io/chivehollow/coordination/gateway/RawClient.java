package io.chivehollow.coordination.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that writes arbitrary bytes and can stop at any point. */
final class RawClient implements AutoCloseable {

    private final Socket socket = new Socket();

    RawClient(InetSocketAddress address) throws IOException {
        socket.connect(address);
        socket.setSoTimeout(FakeSidecar.MAX_WAIT_S * 1_000);
    }

    RawClient write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    RawClient finishOutput() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    /** Reads until the server ends the connection. */
    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Reads until the text has arrived. */
    String readUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("connection ended after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
