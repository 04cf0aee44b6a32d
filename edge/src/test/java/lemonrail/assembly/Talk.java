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

/** The protocols that the same tests are played in: how clients and endpoints speak them. */
enum Talk {
    HTTP1 {
        @Override
        Protocol<?, ?> protocol() {
            return new Http1Protocol();
        }

        @Override
        Caller caller(InetSocketAddress at) throws IOException {
            return new HttpCaller(at);
        }

        @Override
        String id(Wire wire) throws IOException {
            return wire.read().headers().get("x-request-id");
        }

        @Override
        void answer(Wire wire, Act act, String id) throws IOException {
            switch (act) {
                case NOT_RUN -> Fake.answer(wire, 503, "X-Not-Run: 1\r\n", "full");
                case FAIL -> Fake.answer(wire, 500, "", "failed");
                case TURN_AWAY -> Fake.answer(wire, 400, "", "no");
                default -> Fake.answer(wire, 200, "", "served " + id);
            }
        }
    },

    FRAMES {
        @Override
        Protocol<?, ?> protocol() {
            return new FrameProtocol();
        }

        @Override
        Caller caller(InetSocketAddress at) throws IOException {
            return new FrameCaller(at);
        }

        @Override
        String id(Wire wire) throws IOException {
            return readFrame(wire).split("\\|")[0].substring(1);
        }

        @Override
        void answer(Wire wire, Act act, String id) throws IOException {
            writeFrame(
                    wire,
                    switch (act) {
                        case NOT_RUN -> "N";
                        case FAIL -> "E";
                        case TURN_AWAY -> "B";
                        default -> "Sserved " + id;
                    });
        }
    };

    /** What an endpoint does with a request. */
    enum Act {
        SERVE,
        NOT_RUN,
        FAIL,
        TURN_AWAY,
        RESET,
        SILENT,
        HOLD
    }

    /** What a client hears in the end. */
    record Final(Kind kind, String text) {
        enum Kind {
            SERVED,
            TURNED_AWAY,
            REFUSED,
            FAILED
        }
    }

    /** A client's connection. */
    interface Caller extends Closeable {
        void send(String id, String kind, int deadlineMs) throws IOException;

        Final read() throws IOException;

        /** Whether an answer has come that is not read yet. */
        boolean hasAnswer();

        void awaitEnd() throws IOException;
    }

    /** An endpoint. */
    record Peer(Fake fake, List<String> requests) implements Closeable {
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

    abstract Caller caller(InetSocketAddress at) throws IOException;

    /** Reads a request at an endpoint and tells its id. */
    abstract String id(Wire wire) throws IOException;

    abstract void answer(Wire wire, Act act, String id) throws IOException;

    /** An endpoint that does these with its requests in turn, the last with all that follow. */
    Peer peer(CountDownLatch release, Act... acts) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new Peer(
                new Fake((Wire wire) -> {
                    String id = id(wire);
                    requests.add(id);
                    act(wire, acts[Math.min(requests.size(), acts.length) - 1], id, release);
                }),
                requests);
    }

    /** One of several endpoints, of which one does the first act once and else all do the second. */
    Peer sharing(CountDownLatch release, CountDownLatch first, Act... acts) throws IOException {
        List<String> requests = new CopyOnWriteArrayList<>();
        return new Peer(
                new Fake((Wire wire) -> {
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

    private void act(Wire wire, Act act, String id, CountDownLatch release) throws Exception {
        if (act == Act.RESET) {
            wire.reset();
        } else if (act == Act.SILENT) {
            wire.awaitEnd();
            throw new IOException("the other side is gone");
        } else {
            if (act == Act.HOLD) {
                release.await();
            }
            answer(wire, act, id);
        }
    }

    private static String readFrame(Wire wire) throws IOException {
        DataInputStream in = new DataInputStream(wire.in);
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static void writeFrame(Wire wire, String text) throws IOException {
        DataOutputStream out = new DataOutputStream(wire.socket.getOutputStream());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[bytes.length + Integer.BYTES];
        ByteBuffer.wrap(frame).putInt(bytes.length).put(bytes);
        out.write(frame);
    }

    private abstract static class WireCaller implements Caller {
        final Wire wire;

        WireCaller(InetSocketAddress at) throws IOException {
            wire = new Wire(new Socket(at.getAddress(), at.getPort()));
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

    private static final class HttpCaller extends WireCaller {
        HttpCaller(InetSocketAddress at) throws IOException {
            super(at);
        }

        @Override
        public void send(String id, String kind, int deadlineMs) throws IOException {
            wire.send("GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + kind
                    + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n");
        }

        @Override
        public Final read() throws IOException {
            Wire.Message answer = wire.read();
            return new Final(
                    switch (answer.status()) {
                        case 200 -> Final.Kind.SERVED;
                        case 503 -> Final.Kind.REFUSED;
                        case 502 -> Final.Kind.FAILED;
                        default -> Final.Kind.TURNED_AWAY;
                    },
                    answer.body());
        }
    }

    private static final class FrameCaller extends WireCaller {
        FrameCaller(InetSocketAddress at) throws IOException {
            super(at);
        }

        @Override
        public void send(String id, String kind, int deadlineMs) throws IOException {
            writeFrame(wire, "Q" + id + "|" + kind + "|" + deadlineMs + "|text");
        }

        @Override
        public Final read() throws IOException {
            String frame = readFrame(wire);
            return new Final(
                    switch (frame.charAt(0)) {
                        case 'S' -> Final.Kind.SERVED;
                        case 'R' -> Final.Kind.REFUSED;
                        case 'F' -> Final.Kind.FAILED;
                        default -> Final.Kind.TURNED_AWAY;
                    },
                    frame.substring(1));
        }
    }
}
