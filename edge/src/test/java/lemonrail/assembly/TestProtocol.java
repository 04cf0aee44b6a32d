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

/** The protocols that the same tests run with: how test clients and test endpoints speak them. */
enum TestProtocol {
    HTTP1 {
        @Override
        Protocol<?, ?> protocol() {
            return new Http1Protocol();
        }

        @Override
        TestClient caller(InetSocketAddress at) throws IOException {
            return new HttpClient(at);
        }

        @Override
        String id(HttpTestConnection wire) throws IOException {
            return wire.read().headers().get("x-request-id");
        }

        @Override
        void respond(HttpTestConnection wire, EndpointAction act, String id) throws IOException {
            switch (act) {
                case NOT_RUN -> StubEndpoint.respond(wire, 503, "X-Not-Run: 1\r\n", "full");
                case FAIL -> StubEndpoint.respond(wire, 500, "", "failed");
                case REJECT -> StubEndpoint.respond(wire, 400, "", "no");
                default -> StubEndpoint.respond(wire, 200, "", "served " + id);
            }
        }
    },

    FRAMES {
        @Override
        Protocol<?, ?> protocol() {
            return new FrameProtocol();
        }

        @Override
        TestClient caller(InetSocketAddress at) throws IOException {
            return new FrameClient(at);
        }

        @Override
        String id(HttpTestConnection wire) throws IOException {
            return readFrame(wire).split("\\|")[0].substring(1);
        }

        @Override
        void respond(HttpTestConnection wire, EndpointAction act, String id) throws IOException {
            writeFrame(
                    wire,
                    switch (act) {
                        case NOT_RUN -> "N";
                        case FAIL -> "E";
                        case REJECT -> "B";
                        default -> "Sserved " + id;
                    });
        }
    };

    /** What an endpoint does with a request. */
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

    /** A client's connection. */
    interface TestClient extends Closeable {
        void send(String id, String kind, int deadlineMs) throws IOException;

        ClientResult read() throws IOException;

        /** Whether an answer has come that is not read yet. */
        boolean hasAnswer();

        void awaitEnd() throws IOException;
    }

    /** An endpoint. */
    record TestEndpoint(StubEndpoint fake, List<String> requests) implements Closeable {
        String address() {
            return fake.address();
        }

        int connections() {
            return fake.open.get();
        }

        @Override
        public void close() throws IOException {
            fake.close();
        }
    }

    abstract Protocol<?, ?> protocol();

    abstract TestClient caller(InetSocketAddress at) throws IOException;

    /** Reads a request at an endpoint and tells its id. */
    abstract String id(HttpTestConnection wire) throws IOException;

    abstract void respond(HttpTestConnection wire, EndpointAction act, String id) throws IOException;

    /** An endpoint that does these with its requests in turn, the last with all that follow. */
    TestEndpoint peer(CountDownLatch release, EndpointAction... acts) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new TestEndpoint(
                new StubEndpoint((HttpTestConnection wire) -> {
                    String id = id(wire);
                    requests.add(id);
                    act(wire, acts[Math.min(requests.size(), acts.length) - 1], id, release);
                }),
                requests);
    }

    /** One of several endpoints, of which one does the first act once and else all do the second. */
    TestEndpoint sharing(CountDownLatch release, CountDownLatch first, EndpointAction... acts) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new TestEndpoint(
                new StubEndpoint((HttpTestConnection wire) -> {
                    String id = id(wire);
                    requests.add(id);
                    boolean isFirst;
                    synchronized (first) {
                        isFirst = first.getCount() > 0;
                        first.countDown();
                    }
                    act(wire, isFirst ? acts[0] : acts[1], id, release);
                }),
                requests);
    }

    private void act(HttpTestConnection wire, EndpointAction act, String id, CountDownLatch release) throws Exception {
        if (act == EndpointAction.RESET) {
            wire.reset();
        } else if (act == EndpointAction.SILENT) {
            wire.awaitEnd();
            throw new IOException("the other side is gone");
        } else {
            if (act == EndpointAction.HOLD) {
                release.await();
            }
            respond(wire, act, id);
        }
    }

    private static String readFrame(HttpTestConnection wire) throws IOException {
        DataInputStream in = new DataInputStream(wire.in);
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static void writeFrame(HttpTestConnection wire, String text) throws IOException {
        DataOutputStream out = new DataOutputStream(wire.socket.getOutputStream());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[bytes.length + Integer.BYTES];
        ByteBuffer.wrap(frame).putInt(bytes.length).put(bytes);
        out.write(frame);
    }

    private abstract static class ConnectionClient implements TestClient {
        final HttpTestConnection wire;

        ConnectionClient(InetSocketAddress at) throws IOException {
            wire = new HttpTestConnection(new Socket(at.getAddress(), at.getPort()));
        }

        @Override
        public boolean hasAnswer() {
            try {
                return wire.in.available() > 0;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void awaitEnd() throws IOException {
            wire.awaitEnd();
        }

        @Override
        public void close() throws IOException {
            wire.close();
        }
    }

    private static final class HttpClient extends ConnectionClient {
        HttpClient(InetSocketAddress at) throws IOException {
            super(at);
        }

        @Override
        public void send(String id, String kind, int deadlineMs) throws IOException {
            wire.send("GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + kind
                    + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n");
        }

        @Override
        public ClientResult read() throws IOException {
            HttpTestConnection.Message answer = wire.read();
            return new ClientResult(
                    switch (answer.status()) {
                        case 200 -> ClientResult.Kind.SERVED;
                        case 503 -> ClientResult.Kind.SHED;
                        case 502 -> ClientResult.Kind.FAILED;
                        default -> ClientResult.Kind.REJECTED;
                    },
                    answer.body());
        }
    }

    private static final class FrameClient extends ConnectionClient {
        FrameClient(InetSocketAddress at) throws IOException {
            super(at);
        }

        @Override
        public void send(String id, String kind, int deadlineMs) throws IOException {
            writeFrame(wire, "Q" + id + "|" + kind + "|" + deadlineMs + "|text");
        }

        @Override
        public ClientResult read() throws IOException {
            String frame = readFrame(wire);
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
