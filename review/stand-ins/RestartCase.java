import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Endpoints give long answers over some seconds. With the disruption, the sidecar is told to end (SIGTERM) while it passes
 * them on; each of them is whole before SIGKILL may come. None may be cut off.
 */
final class RestartCase extends Case {

    private static final int ENDPOINTS = 8;
    /** The clients' requests come this long before SIGTERM. Each answer is whole before the deadline of 5 s, too. */
    private static final int BEFORE_TERM_MS = 1_000;
    /** The longest deadline is 6 s, which is counted as 3 s, plus 0.7 s. */
    private static final int EARLIEST_KILL_MS = 3_700;

    private static final int KILL_MS = 4_200;
    /** When the last byte of each answer is given, counted from SIGTERM. */
    private static final int[] ANSWER_ENDS_MS = {2_500, 3_000, 3_500, 3_580, 3_640};

    private static final int ANSWER_BYTES = 600_000;
    private static final int PIECE_MS = 20;

    private final Map<String, Integer> endMsById = new ConcurrentHashMap<>();
    private volatile double termMs;

    private record Received(String id, String startLine, int bytes, double endedMs) {}

    private final List<Received> received = new ArrayList<>();

    public static void main(String[] arguments) {
        new RestartCase().start(arguments);
    }

    @Override
    int run() throws Exception {
        Agent agent = new Agent();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint(Deployment.HEAD_OFFICE, "s-5be2a0" + i, i / 4, this::handle);
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
            termMs = Record.nowMs() + BEFORE_TERM_MS;
            List<Thread> clients = new ArrayList<>();
            for (int endMs : ANSWER_ENDS_MS) {
                String id = "long-" + endMs;
                endMsById.put(id, endMs);
                clients.add(Threads.start("client-" + id, () -> request(sidecar, id)));
            }
            Threads.sleep(Math.max(0, termMs - Record.nowMs()));
            if (trouble) {
                sidecar.terminate();
                Record.say("platform: SIGTERM, %.0f ms after its planned time", Record.nowMs() - termMs);
            }
            Threads.sleep(Math.max(0, termMs + KILL_MS - Record.nowMs()));
            Record.say("platform: %s", sidecar.isAlive() ? "the sidecar runs; SIGKILL" : "the sidecar has ended");
            sidecar.stop();
            for (Thread client : clients) {
                client.join(5_000);
            }
            return judge();
        } finally {
            sidecar.stop();
            sidecar.recordLog();
        }
    }

    private void request(Sidecar sidecar, String id) throws Exception {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(Client.previewRequest(id));
            Record.add("client: %s written", id);
            InputStream in = socket.getInputStream();
            Message head = Message.readHead(in);
            int bytes = 0;
            String end = "whole";
            try {
                byte[] part = new byte[16 * 1024];
                while (bytes < ANSWER_BYTES) {
                    int read = in.read(part, 0, Math.min(part.length, ANSWER_BYTES - bytes));
                    if (read < 0) {
                        end = "the connection ended";
                        break;
                    }
                    bytes += read;
                }
            } catch (IOException e) {
                end = e.toString();
            }
            Record.add("client: %s: %s after %d bytes", id, end, bytes);
            synchronized (received) {
                received.add(new Received(id, head == null ? "no head" : head.startLine, bytes, Record.nowMs()));
            }
        }
    }

    private boolean handle(Endpoint endpoint, Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.header("x-request-id");
        request.readBody(in);
        Record.add("endpoint %s: runs %s", endpoint.id, id);
        Integer endMs = endMsById.get(id);
        if (endMs == null) {
            Thread.sleep(20);
            Endpoint.answer(out, "price of " + id);
            return true;
        }
        double startMs = Record.nowMs();
        double lengthMs = termMs + endMs - startMs;
        out.write(Message.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
        int given = 0;
        while (given < ANSWER_BYTES) {
            int due = (int) Math.min(ANSWER_BYTES, ANSWER_BYTES * (Record.nowMs() - startMs + PIECE_MS) / lengthMs);
            try {
                out.write(new byte[due - given]);
            } catch (IOException e) {
                Record.add("endpoint %s: %s was cut off after %d bytes, %.0f ms after SIGTERM: %s", endpoint.id, id, given,
                        Record.nowMs() - termMs, e);
                return false;
            }
            given = due;
            if (given < ANSWER_BYTES) {
                Thread.sleep(PIECE_MS);
            }
        }
        Record.add("endpoint %s: all of %s given, %.0f ms after SIGTERM", endpoint.id, id, Record.nowMs() - termMs);
        return true;
    }

    private int judge() {
        int cut = 0;
        synchronized (received) {
            for (Received answer : received) {
                boolean isWhole = answer.startLine().startsWith("HTTP/1.1 200") && answer.bytes() == ANSWER_BYTES;
                Record.say("%s: '%s', %d of %d bytes, ended %.0f ms after SIGTERM; its endpoint gives the last byte after %d ms",
                        answer.id(), answer.startLine(), answer.bytes(), ANSWER_BYTES, answer.endedMs() - termMs,
                        endMsById.get(answer.id()));
                cut += isWhole ? 0 : 1;
            }
            if (received.size() < ANSWER_ENDS_MS.length) {
                return COULD_NOT_RUN;
            }
        }
        Record.say("%d of %d long answers were cut off; SIGKILL may come %d ms after SIGTERM at the earliest", cut,
                ANSWER_ENDS_MS.length, EARLIEST_KILL_MS);
        return cut > 0 ? BROKEN : HELD;
    }
}
