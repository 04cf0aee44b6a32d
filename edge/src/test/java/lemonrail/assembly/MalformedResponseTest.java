package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that send malformed responses: a client only ever gets the response to its own request. */
@Timeout(60)
class MalformedResponseTest {

    private static final int DEADLINE_MS = 8000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private SidecarFixture rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private void start(StubEndpoint.RequestHandler script) throws IOException {
        rig = new SidecarFixture(new StubEndpoint(script));
        rig.start();
    }

    /** The request has run, so a non-idempotent one fails at once, and the connection is closed. */
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
                OK + "\r\nhello",
                OK + "lonely\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
            })
    void malformedResponseFailsTheAttemptAtOnce(String response) throws Exception {
        start((wire, request) -> wire.send(response).awaitEnd());
        long startNs = System.nanoTime();
        assertEquals(502, rig.ask("order", DEADLINE_MS).status());
        assertTrue((System.nanoTime() - startNs) / 1e6 < DEADLINE_MS / 2.0, "at once");
        SidecarFixture.await(
                "the connection is closed", () -> rig.endpoints.get(0).open.get() == 0);
        assertEquals(1, rig.attempts());
    }

    @ParameterizedTest
    @ValueSource(strings = {OK + "%sX-Pad: pppppppppppppppppppp\r\n", "%sHTTP/1.1 103 Early Hints\r\n\r\n"})
    void endlessHeadIsCutShort(String pattern) throws Exception {
        String[] parts = pattern.split("%s");
        start((wire, request) -> {
            wire.send(parts[0]);
            while (true) {
                wire.send(parts[1]);
            }
        });
        assertEquals(502, rig.ask("order", DEADLINE_MS).status());
        SidecarFixture.await(
                "the connection is closed", () -> rig.endpoints.get(0).open.get() == 0);
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
        start((wire, request) -> wire.send(head + "Content-Length: 5\r\n\r\nhello"));
        try (HttpTestConnection client = rig.client()) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "hello",
                        client.send(rig.request("order", DEADLINE_MS)).read().body());
                rig.settle();
            }
        }
        assertEquals(1, rig.endpoints.get(0).connections.get(), "and its connection is kept");
    }

    /** A second copy, noise or half a line must not become the response to the next request. */
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
        start((wire, request) -> {
            String id = request.headers().get("x-request-id");
            String response = OK + "Content-Length: " + id.length() + "\r\n\r\n" + id;
            wire.send(response + (strayBytes.equals("copy") ? response : strayBytes));
        });
        try (HttpTestConnection client = rig.client()) {
            for (int i = 0; i < 10; i++) {
                HttpTestConnection.Message response =
                        client.send(rig.request("order", DEADLINE_MS)).read();
                assertEquals(200, response.status());
                assertEquals("r" + i, response.body());
                rig.settle();
            }
        }
        assertEquals(10, rig.endpoints.get(0).connections.get(), "none is used again");
    }

    /** The same when the bytes arrive later, on an idle connection. */
    @Test
    void strayBytesOnAnIdleConnectionCloseIt() throws Exception {
        start((wire, request) -> {
            StubEndpoint.respond(wire, 200, "", request.headers().get("x-request-id"));
            Thread.sleep(30);
            wire.send("x");
        });
        for (int i = 0; i < 3; i++) {
            assertEquals("r" + i, rig.ask("order", DEADLINE_MS).body());
            SidecarFixture.await("it is closed", () -> rig.endpoints.get(0).open.get() == 0);
        }
    }

    /** An endpoint must not be ejected for client errors, which only the request is to blame for. */
    @Test
    void clientErrorsDoNotEjectTheEndpoint() throws Exception {
        start((wire, request) ->
                StubEndpoint.respond(wire, "bad".equals(request.headers().get("x-note")) ? 400 : 200, "", "x"));
        for (int i = 0; i < 20; i++) {
            try (HttpTestConnection client = rig.client()) {
                String bad = rig.request("order", DEADLINE_MS).replace("Host:", "X-Note: bad\r\nHost:");
                assertEquals(400, client.send(bad).read().status());
            }
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        assertEquals(21, rig.attempts(), "each was sent once");
    }
}
