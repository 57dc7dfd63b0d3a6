package io.chivehollow.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.micronaut.http.HttpMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Guards against a broken response of a gateway that an operator takes for a success. */
public class AdminClientTest {

    @DataProvider
    public Object[][] invalidStatuses() {
        return new Object[][] {{"000"}, {"099"}, {"600"}};
    }

    @Test(dataProvider = "invalidStatuses", timeOut = 30_000)
    public void invalidStatusIsNoResponse(String status) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                AdminClient client = AdminClient.create("http://127.0.0.1:" + server.getLocalPort(), "key")) {
            Thread responder = new Thread(() -> respond(server, status), "fake-gateway");
            responder.setDaemon(true);
            responder.start();
            CliException failure =
                    expectThrows(CliException.class, () -> client.call(HttpMethod.GET, "/admin/v1/state", null));
            assertTrue(failure.getMessage().startsWith("No response from "), failure.getMessage());
        }
    }

    private static void respond(ServerSocket server, String status) {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read();
            connection
                    .getOutputStream()
                    .write(("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n{}")
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(1_000);
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }
}
