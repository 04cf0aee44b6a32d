import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client writes a long request whole. With the disruption, the machine of the endpoint that is taking it vanishes for
 * 12 s. The client is owed a final answer by its deadline and half a second.
 */
final class UploadCase extends Case {

    /** One of ten is 10 %, under the 11 % that the brief names. */
    private static final int ENDPOINTS = 10;
    /**
     * How much a client can write and how much an endpoint's connection takes depend on the system's buffers. The body
     * has to be larger than the latter and not larger than both; the next size is tried if it was not.
     */
    private static final int[] BODY_MEGABYTES = {5, 6, 4, 8};
    /** How much of the body the endpoint reads before it vanishes. */
    private static final int TAKEN_BYTES = 256 * 1024;

    private static final int VANISH_MS = 12_000;
    private static final int DEADLINE_MS = 5_000;
    /** The page gives an answer half a second after its time; every limit on sockets is 50 ms longer. */
    private static final int SLACK_MS = 550;

    private final AtomicBoolean vanishing = new AtomicBoolean();
    private final ConcurrentHashMap<String, String> runs = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new UploadCase().start(arguments);
    }

    @Override
    int run() throws Exception {
        Agent agent = new Agent();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint(Deployment.HEAD_OFFICE, "s-5be2a0" + i, i / 5, this::handle);
            agent.put(endpoint.id, endpoint.json("in_service", 0));
        }
        Sidecar sidecar = new Sidecar(root, folder, "n1", agent, agent.list(), Deployment.HEAD_OFFICE);
        try {
            if (!sidecar.awaitReady()) {
                return COULD_NOT_RUN;
            }
            for (int i = 0; i < 20; i++) {
                if (!Client.preview(sidecar, "small-" + i).startsWith("HTTP/1.1 200")) {
                    return COULD_NOT_RUN;
                }
            }
            int status = COULD_NOT_RUN;
            for (int megabytes : BODY_MEGABYTES) {
                status = upload(sidecar, megabytes);
                if (status == BROKEN || !trouble) {
                    return status;
                }
                // One machine at a time vanishes.
                Thread.sleep(VANISH_MS);
            }
            return status;
        } finally {
            sidecar.stop();
            sidecar.recordLog();
        }
    }

    private boolean handle(Endpoint endpoint, Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.header("x-request-id");
        String lengthHeader = request.header("content-length");
        int length = lengthHeader.isEmpty() ? 0 : Integer.parseInt(lengthHeader);
        if (length > TAKEN_BYTES) {
            Record.add("endpoint %s: head of %s, %d bytes to come", endpoint.id, id, length);
            int read = in.readNBytes(TAKEN_BYTES).length;
            if (vanishing.compareAndSet(true, false)) {
                Record.add("endpoint %s: its machine vanishes after %d bytes of %s", endpoint.id, read, id);
                endpoint.holdConnections(VANISH_MS);
                Thread.sleep(VANISH_MS);
                Record.add("endpoint %s: its machine is back; the old connection is reset", endpoint.id);
                return false;
            }
            while (read < length) {
                int part = in.readNBytes(Math.min(length - read, 64 * 1024)).length;
                if (part == 0) {
                    Record.add("endpoint %s: %s ended after %d bytes", endpoint.id, id, read);
                    return false;
                }
                read += part;
            }
        } else {
            request.readBody(in);
        }
        runs.merge(id, endpoint.id, (a, b) -> a + "," + b);
        Record.add("endpoint %s: runs %s", endpoint.id, id);
        Thread.sleep(20);
        Endpoint.answer(out, "price of " + id);
        return true;
    }

    private int upload(Sidecar sidecar, int megabytes) throws Exception {
        vanishing.set(trouble);
        String id = "long-" + megabytes;
        byte[] body = new byte[megabytes * 1024 * 1024];
        Arrays.fill(body, (byte) 'x');
        List<Double> lastByteMs = new ArrayList<>();
        try (Socket socket = sidecar.connect()) {
            Threads.start("client", () -> {
                OutputStream out = socket.getOutputStream();
                out.write(Client.issueHead(id, DEADLINE_MS, body.length));
                out.write(body);
                synchronized (lastByteMs) {
                    lastByteMs.add(Record.nowMs());
                }
                Record.add("client: last byte of %s written", id);
            });
            socket.setSoTimeout(30_000);
            String answer = Client.awaitAnswer(socket);
            double answeredMs = Record.nowMs();
            synchronized (lastByteMs) {
                if (lastByteMs.isEmpty()) {
                    Record.say("%s: answer '%s' before the last byte was written: not taken, says nothing", id, answer);
                    return COULD_NOT_RUN;
                }
                double afterMs = answeredMs - lastByteMs.get(0);
                Record.say("%s: deadline %d ms; final answer '%s' %.0f ms after the last byte; run at: %s",
                        id, DEADLINE_MS, answer, afterMs, runs.getOrDefault(id, "none"));
                return afterMs > DEADLINE_MS + SLACK_MS ? BROKEN : HELD;
            }
        }
    }
}
