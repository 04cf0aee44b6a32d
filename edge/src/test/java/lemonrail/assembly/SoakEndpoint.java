package lemonrail.assembly;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** An endpoint of the soak that responds well, slowly, in lumps without a length, or with a reset, by chance. */
final class SoakEndpoint implements Closeable {

    private static final int READ_BYTES = 16 * 1024;
    private static final int LUMPS = 8;
    private static final int LUMP_INTERVAL_MS = 90;
    private static final int SLOW_READ_MS = 15;
    /** The size of a long response without the id with which it begins. */
    static final int LONG_RESPONSE_BYTES = 140_000;

    /** What the endpoint does with a request. */
    private enum Behaviour {
        SMALL,
        LONG,
        LONG_SLOW,
        LUMPS_CLOSE,
        LUMPS_RESET,
        NOT_RUN,
        HANG
    }

    /** The behaviours in proportion to their frequency. */
    private static final Behaviour[] BEHAVIOURS = {
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.SMALL,
        Behaviour.LONG,
        Behaviour.LONG_SLOW,
        Behaviour.LUMPS_CLOSE,
        Behaviour.LUMPS_RESET,
        Behaviour.NOT_RUN,
        Behaviour.HANG
    };

    private final StubEndpoint endpoint;
    private final SoakRecord record;
    private final Random random;

    SoakEndpoint(SoakRecord record, long seed) throws IOException {
        this.record = record;
        random = new Random(seed);
        endpoint = new StubEndpoint((StubEndpoint.ConnectionHandler) this::serve);
    }

    StubEndpoint stub() {
        return endpoint;
    }

    private synchronized int nextInt(int bound) {
        return random.nextInt(bound);
    }

    private void serve(HttpTestConnection connection) throws Exception {
        HttpTestConnection.Message head = connection.readHead();
        String id = head.headers().get("x-request-id");
        record.onAttemptBegun(id);
        readBody(connection, head.headers());
        Behaviour behaviour = BEHAVIOURS[nextInt(BEHAVIOURS.length)];
        if (behaviour == Behaviour.NOT_RUN) {
            StubEndpoint.respond(connection, 503, "X-Not-Run: 1\r\n", "full");
            return;
        }
        record.onExecuted(id);
        respond(connection, id, behaviour);
    }

    private void readBody(HttpTestConnection connection, Map<String, String> headers) throws Exception {
        if (headers.containsKey("transfer-encoding")) {
            throw new IOException("the soak's clients send no chunked bodies to the end");
        }
        int remaining = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        boolean slow = remaining > READ_BYTES && nextInt(2) == 0;
        while (remaining > 0) {
            int read = connection.in.readNBytes(Math.min(remaining, READ_BYTES)).length;
            if (read == 0) {
                throw new IOException("the connection ended within the body");
            }
            remaining -= read;
            TimeUnit.MILLISECONDS.sleep(slow ? SLOW_READ_MS : 0);
        }
    }

    private void respond(HttpTestConnection connection, String id, Behaviour behaviour) throws Exception {
        String longBody = id + "y".repeat(LONG_RESPONSE_BYTES);
        switch (behaviour) {
            case LONG -> StubEndpoint.respond(connection, 200, "", longBody);
            case LONG_SLOW -> {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + longBody.length() + "\r\n\r\n");
                sendInLumps(connection, longBody);
            }
            case LUMPS_CLOSE -> {
                connection.send("HTTP/1.1 200 OK\r\n\r\n");
                sendInLumps(connection, longBody);
                connection.close();
            }
            case LUMPS_RESET -> {
                record.onResponseSpoilt(id);
                connection.send("HTTP/1.1 200 OK\r\n\r\n");
                sendInLumps(connection, longBody);
                connection.reset();
            }
            case HANG -> connection.awaitEnd();
            default -> StubEndpoint.respond(connection, 200, "", id);
        }
    }

    private void sendInLumps(HttpTestConnection connection, String body) throws Exception {
        for (int i = 0; i < LUMPS; i++) {
            connection.send(body.substring(body.length() * i / LUMPS, body.length() * (i + 1) / LUMPS));
            TimeUnit.MILLISECONDS.sleep(LUMP_INTERVAL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        endpoint.close();
    }
}
