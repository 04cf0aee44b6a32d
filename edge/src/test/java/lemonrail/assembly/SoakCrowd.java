package lemonrail.assembly;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Hundreds of clients that connect at once and make a sidecar hold as much as it can. */
final class SoakCrowd extends Thread {

    private static final int MIN_CLIENTS = 100;
    private static final int MORE_CLIENTS = 320;
    private static final int HOLD_MS = 2600;
    private static final String HEAD =
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Class: order\r\nX-Deadline-Ms: 1500\r\n";

    /** What each client of the crowd does. */
    private enum Shape {
        MANY_FIELDS,
        MOST_FIELDS,
        LONG_FIELD,
        TRAILERS,
        HALF_A_BODY,
        HALF_A_SMALL_BODY,
        SLOW_READER,
        PIPELINE,
        SILENT
    }

    private final InetSocketAddress address;
    private final AtomicBoolean running;
    private final Random random;
    private final List<HttpTestConnection> clients = new ArrayList<>();
    private int requests;

    SoakCrowd(InetSocketAddress address, AtomicBoolean running, long seed) {
        super("soak-crowd");
        this.address = address;
        this.running = running;
        random = new Random(seed);
        setDaemon(true);
    }

    @Override
    public void run() {
        try {
            while (running.get()) {
                Shape shape = Shape.values()[random.nextInt(Shape.values().length)];
                int count = MIN_CLIENTS + random.nextInt(MORE_CLIENTS);
                for (int i = 0; i < count && running.get(); i++) {
                    connect(shape);
                }
                TimeUnit.MILLISECONDS.sleep(HOLD_MS);
                disconnectAll();
            }
        } catch (InterruptedException e) {
            disconnectAll();
        }
    }

    private void connect(Shape shape) {
        try {
            HttpTestConnection client = HttpTestConnection.to(address);
            clients.add(client);
            if (shape == Shape.SLOW_READER) {
                client.socket.setReceiveBufferSize(4096);
            }
            client.send(input(shape));
        } catch (IOException e) {
            // The sidecar has closed the connection, or does not listen.
            return;
        }
    }

    private String input(Shape shape) {
        String id = "X-Request-Id: crowd-" + getId() + "-" + requests++ + "\r\n";
        return switch (shape) {
            case MANY_FIELDS -> "GET /api HTTP/1.1\r\n" + "a:\r\n".repeat(3900);
            case MOST_FIELDS -> "GET /api HTTP/1.1\r\n" + "a:\r\n".repeat(99);
            case LONG_FIELD -> "GET /api HTTP/1.1\r\nX: " + "v".repeat(7500);
            case TRAILERS -> HEAD + id + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + "a:\r\n".repeat(1900);
            case HALF_A_BODY -> HEAD + id + "Content-Length: 600000\r\n\r\n" + "u".repeat(300_000);
            case HALF_A_SMALL_BODY -> HEAD + id + "Content-Length: 60000\r\n\r\n" + "u".repeat(50_000);
            case SLOW_READER -> HEAD.replace("POST", "GET").replace("order", "read") + id + "\r\n";
            case PIPELINE -> pipeline();
            case SILENT -> "";
        };
    }

    private String pipeline() {
        StringBuilder input = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            input.append(HEAD.replace("POST", "GET").replace("order", "read"))
                    .append("X-Request-Id: crowd-" + getId() + "-" + requests++ + "\r\n")
                    .append("a:\r\n".repeat(80))
                    .append("\r\n");
        }
        return input.toString();
    }

    private void disconnectAll() {
        for (HttpTestConnection client : clients) {
            try {
                client.close();
            } catch (IOException e) {
                // It is closed already.
                continue;
            }
        }
        clients.clear();
    }
}
