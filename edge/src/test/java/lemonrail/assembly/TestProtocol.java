package lemonrail.assembly;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import lemonrail.exchange.Protocol;
import lemonrail.frames.FrameProtocol;
import lemonrail.http1.Http1Protocol;

/** The protocols that {@link ProtocolContractTest} runs with, each with test clients and test endpoints. */
enum TestProtocol {
    HTTP1 {
        @Override
        Protocol<?, ?> protocol() {
            return new Http1Protocol();
        }

        @Override
        TestClient client(InetSocketAddress address) throws IOException {
            return new HttpClient(address);
        }

        @Override
        String readRequestId(HttpTestConnection connection) throws IOException {
            return connection.read().headers().get("x-request-id");
        }

        @Override
        void respond(HttpTestConnection connection, EndpointAction action, String id) throws IOException {
            switch (action) {
                case NOT_RUN -> StubEndpoint.respond(connection, 503, "X-Not-Run: 1\r\n", "full");
                case FAIL -> StubEndpoint.respond(connection, 500, "", "failed");
                case REJECT -> StubEndpoint.respond(connection, 400, "", "no");
                default -> StubEndpoint.respond(connection, 200, "", "served " + id);
            }
        }
    },

    FRAMES {
        @Override
        Protocol<?, ?> protocol() {
            return new FrameProtocol();
        }

        @Override
        TestClient client(InetSocketAddress address) throws IOException {
            return new FrameClient(address);
        }

        @Override
        String readRequestId(HttpTestConnection connection) throws IOException {
            return readFrame(connection).split("\\|")[0].substring(1);
        }

        @Override
        void respond(HttpTestConnection connection, EndpointAction action, String id) throws IOException {
            writeFrame(
                    connection,
                    switch (action) {
                        case NOT_RUN -> "N";
                        case FAIL -> "E";
                        case REJECT -> "B";
                        default -> "Sserved " + id;
                    });
        }
    };

    /** How an endpoint handles a request. */
    enum EndpointAction {
        SERVE,
        NOT_RUN,
        FAIL,
        REJECT,
        RESET,
        SILENT,
        HOLD
    }

    /** What a client receives for a request. */
    record ClientResult(Kind kind, String text) {
        enum Kind {
            SERVED,
            REJECTED,
            SHED,
            FAILED
        }
    }

    /** A client with one connection. */
    interface TestClient extends Closeable {
        void send(String id, String requestClass, int deadlineMs) throws IOException;

        ClientResult read() throws IOException;

        /** Returns whether a response has arrived that has not been read yet. */
        boolean hasResponse();

        void awaitEnd() throws IOException;
    }

    /** An endpoint with the ids of the requests that it has received. */
    record TestEndpoint(StubEndpoint stub, List<String> requests) implements Closeable {
        String address() {
            return stub.address();
        }

        int connections() {
            return stub.open.get();
        }

        @Override
        public void close() throws IOException {
            stub.close();
        }
    }

    abstract Protocol<?, ?> protocol();

    abstract TestClient client(InetSocketAddress address) throws IOException;

    /** Reads a request at an endpoint and returns its id. */
    abstract String readRequestId(HttpTestConnection connection) throws IOException;

    abstract void respond(HttpTestConnection connection, EndpointAction action, String id) throws IOException;

    /**
     * Creates an endpoint that applies the actions to its requests in turn, and the last one to all further requests.
     */
    TestEndpoint endpoint(CountDownLatch release, EndpointAction... actions) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new TestEndpoint(
                new StubEndpoint((HttpTestConnection connection) -> {
                    String id = readRequestId(connection);
                    requests.add(id);
                    handle(connection, actions[Math.min(requests.size(), actions.length) - 1], id, release);
                }),
                requests);
    }

    /**
     * Creates one of several endpoints that share a latch: the first request at any of them gets the first action,
     * and all other requests the second.
     */
    TestEndpoint endpointSharingFirstAction(
            CountDownLatch release, CountDownLatch firstRequest, EndpointAction... actions) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new TestEndpoint(
                new StubEndpoint((HttpTestConnection connection) -> {
                    String id = readRequestId(connection);
                    requests.add(id);
                    boolean isFirst;
                    synchronized (firstRequest) {
                        isFirst = firstRequest.getCount() > 0;
                        firstRequest.countDown();
                    }
                    handle(connection, isFirst ? actions[0] : actions[1], id, release);
                }),
                requests);
    }

    private void handle(HttpTestConnection connection, EndpointAction action, String id, CountDownLatch release)
            throws Exception {
        if (action == EndpointAction.RESET) {
            connection.reset();
        } else if (action == EndpointAction.SILENT) {
            connection.awaitEnd();
            throw new IOException("the sidecar has closed the connection");
        } else {
            if (action == EndpointAction.HOLD) {
                release.await();
            }
            respond(connection, action, id);
        }
    }

    private static String readFrame(HttpTestConnection connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.in);
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static void writeFrame(HttpTestConnection connection, String text) throws IOException {
        DataOutputStream out = new DataOutputStream(connection.socket.getOutputStream());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[bytes.length + Integer.BYTES];
        ByteBuffer.wrap(frame).putInt(bytes.length).put(bytes);
        out.write(frame);
    }

    private abstract static class ConnectionClient implements TestClient {
        final HttpTestConnection connection;

        ConnectionClient(InetSocketAddress address) throws IOException {
            connection = new HttpTestConnection(new Socket(address.getAddress(), address.getPort()));
        }

        @Override
        public boolean hasResponse() {
            try {
                return connection.in.available() > 0;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void awaitEnd() throws IOException {
            connection.awaitEnd();
        }

        @Override
        public void close() throws IOException {
            connection.close();
        }
    }

    private static final class HttpClient extends ConnectionClient {
        HttpClient(InetSocketAddress address) throws IOException {
            super(address);
        }

        @Override
        public void send(String id, String requestClass, int deadlineMs) throws IOException {
            connection.send("GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                    + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n");
        }

        @Override
        public ClientResult read() throws IOException {
            HttpTestConnection.Message response = connection.read();
            return new ClientResult(
                    switch (response.status()) {
                        case 200 -> ClientResult.Kind.SERVED;
                        case 503 -> ClientResult.Kind.SHED;
                        case 502 -> ClientResult.Kind.FAILED;
                        default -> ClientResult.Kind.REJECTED;
                    },
                    response.body());
        }
    }

    private static final class FrameClient extends ConnectionClient {
        FrameClient(InetSocketAddress address) throws IOException {
            super(address);
        }

        @Override
        public void send(String id, String requestClass, int deadlineMs) throws IOException {
            writeFrame(connection, "Q" + id + "|" + requestClass + "|" + deadlineMs + "|text");
        }

        @Override
        public ClientResult read() throws IOException {
            String frame = readFrame(connection);
            return new ClientResult(
                    switch (frame.charAt(0)) {
                        case 'S' -> ClientResult.Kind.SERVED;
                        case 'R' -> ClientResult.Kind.SHED;
                        case 'F' -> ClientResult.Kind.FAILED;
                        default -> ClientResult.Kind.REJECTED;
                    },
                    frame.substring(1));
        }
    }
}
