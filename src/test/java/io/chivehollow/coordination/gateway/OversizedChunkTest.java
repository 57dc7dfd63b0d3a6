package io.chivehollow.coordination.gateway;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against chunk sizes of which only the low bits are kept, so that the body of a request hides another one. */
@Test(singleThreaded = true, timeOut = 60_000)
public class OversizedChunkTest {

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String HIDDEN_REQUEST = "GET /healthz HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n";

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    /** A size line, and what completes a body of that size if its high bits are dropped. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {"100000000", "\r\n"},
            {"10000000000000000", "\r\n"},
            {"1000000000000000a", "0123456789\r\n" + LAST_CHUNK},
        };
    }

    private String exchange(String chunks) throws Exception {
        try (RawClient client = new RawClient(fixture.gateway.address())) {
            client.write("POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + fixture.key.text()
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[1\r\n" + chunks + HIDDEN_REQUEST);
            return client.readAll();
        }
    }

    @Test(dataProvider = "sizes")
    public void requestBodyHidesNoRequest(String size, String rest) throws Exception {
        String response = exchange(size + "\r\n" + rest);
        assertFalse(response.contains("HTTP/1.1 200 "), response);
        assertEquals(response.indexOf("HTTP/1.1 "), response.lastIndexOf("HTTP/1.1 "), response);
    }

    @Test
    public void requestsWithTrueSizesAreHandled() throws Exception {
        String response = exchange("a\r\n0123456789\r\n" + LAST_CHUNK);
        assertTrue(response.startsWith("HTTP/1.1 400 ") && response.contains("HTTP/1.1 200 "), response);
    }
}
