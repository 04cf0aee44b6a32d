package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that send malformed responses: a client gets no response but that to its own request. */
@Timeout(60)
class MalformedResponseTest {

    private static final int DEADLINE_MS = 8000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void start(StubEndpoint.RequestHandler handler) throws IOException {
        fixture = new SidecarFixture(new StubEndpoint(handler));
        fixture.start();
    }

    /** The request may have been executed, so that a non-idempotent one fails at once. The connection is closed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001\u0002noise\r\n\r\n",
                "ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello",
                OK + "no colon here\r\nContent-Length: 5\r\n\r\nhello",
                OK + "Content-Length: -1\r\nContent-Length: 5\r\n\r\nhello",
                OK + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
                OK + "Content-Length: five\r\n\r\nhello",
                OK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\nhello\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: gzip\r\n\r\nhello",
                OK + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                OK + "Content-Length: 3221225472\r\n\r\nhello",
                OK + "Content-Length: 33554433\r\n\r\nhello",
                OK + "lonely\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
            })
    void malformedResponseFailsTheAttemptAtOnce(String response) throws Exception {
        start((connection, request) -> connection.send(response).awaitEnd());
        long startNs = System.nanoTime();
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(
                (System.nanoTime() - startNs) / 1e6 < DEADLINE_MS / 2.0, "the failure comes long before the deadline");
        SidecarFixture.await(
                "the connection is closed", () -> fixture.endpoints.get(0).open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    @ParameterizedTest
    @ValueSource(strings = {OK + "%sX-Pad: pppppppppppppppppppp\r\n", "%sHTTP/1.1 103 Early Hints\r\n\r\n"})
    void endlessHeadFailsTheAttempt(String pattern) throws Exception {
        String[] parts = pattern.split("%s");
        start((connection, request) -> {
            connection.send(parts[0]);
            while (true) {
                connection.send(parts[1]);
            }
        });
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
        SidecarFixture.await(
                "the connection is closed", () -> fixture.endpoints.get(0).open.get() == 0);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK,
                "HTTP/1.1 200 \r\n",
                OK + "X-Load: {\"\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK
            })
    void wellFormedResponseWithUnusualHeadIsServed(String head) throws Exception {
        start((connection, request) -> connection.send(head + "Content-Length: 5\r\n\r\nhello"));
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "hello",
                        client.send(fixture.request("order", DEADLINE_MS))
                                .read()
                                .body());
                fixture.awaitReusableConnections();
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get(), "the connection to the endpoint is reused");
    }

    /** Guards against a second copy, noise or half a line that is taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "copy",
                "noise\r\n\r\n",
                "half a line",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-"
            })
    void strayBytesAreNeverTheNextResponse(String strayBytes) throws Exception {
        start((connection, request) -> {
            String id = request.headers().get("x-request-id");
            String response = OK + "Content-Length: " + id.length() + "\r\n\r\n" + id;
            connection.send(response + (strayBytes.equals("copy") ? response : strayBytes));
        });
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 10; i++) {
                HttpTestConnection.Message response =
                        client.send(fixture.request("order", DEADLINE_MS)).read();
                assertEquals(200, response.status());
                assertEquals("r" + i, response.body());
                fixture.awaitReusableConnections();
            }
        }
        assertEquals(10, fixture.endpoints.get(0).connections.get(), "no connection is reused");
    }

    /** Like the test above, with bytes that arrive later, on an idle connection. */
    @Test
    void strayBytesOnAnIdleConnectionCloseIt() throws Exception {
        start((connection, request) -> {
            StubEndpoint.respond(connection, 200, "", request.headers().get("x-request-id"));
            Thread.sleep(30);
            connection.send("x");
        });
        for (int i = 0; i < 3; i++) {
            assertEquals("r" + i, fixture.sendRequest("order", DEADLINE_MS).body());
            SidecarFixture.await(
                    "the connection is closed",
                    () -> fixture.endpoints.get(0).open.get() == 0);
        }
    }

    /** Guards against the ejection of an endpoint for client errors, which only the request causes. */
    @Test
    void clientErrorsDoNotEjectTheEndpoint() throws Exception {
        start((connection, request) ->
                StubEndpoint.respond(connection, "bad".equals(request.headers().get("x-note")) ? 400 : 200, "", "x"));
        for (int i = 0; i < 20; i++) {
            try (HttpTestConnection client = fixture.client()) {
                String bad = fixture.request("order", DEADLINE_MS).replace("Host:", "X-Note: bad\r\nHost:");
                assertEquals(400, client.send(bad).read().status());
            }
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(21, fixture.attempts(), "each request was sent once");
    }
}
