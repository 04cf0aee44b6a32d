import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A client writes a long request whole and closes its connection. With the disruption, the connection to the endpoint
 * that the sidecar chooses first comes up late. No attempt may begin later than 0.1 s after the close.
 */
final class LeaveCase extends Case {

    private static final int ENDPOINTS = 9;
    private static final int ROUNDS = 5;
    /** Each takes a new connection, so that a third of the connections at most are late: 5 of some 16. */
    private static final int SMALL_REQUESTS = 2;

    private static final int BODY_BYTES = 200_000;
    private static final int LEAVE_MS = 30;
    /** How late the connection comes up; the page has up to 1.5 s, for a third of the connections. */
    private static final int LATE_MS = 1_000;
    /** 0.1 s, and 50 ms as for every time limit on sockets. */
    private static final int LIMIT_MS = 150;

    private record Begin(String endpoint, String id, double ms) {}

    private final List<Begin> begins = new ArrayList<>();
    private final List<String> runs = new ArrayList<>();
    private volatile boolean closesAfterAnswer;

    public static void main(String[] arguments) {
        new LeaveCase().start(arguments);
    }

    @Override
    int run() throws Exception {
        Agent agent = new Agent();
        Map<String, Endpoint> endpoints = new HashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint("s-5be2a0" + i, i / 5, this::handle);
            endpoints.put(endpoint.id, endpoint);
            agent.put(endpoint.id, endpoint.json("in_service", 0));
        }
        Sidecar sidecar = new Sidecar(root, folder, "n1", agent, agent.list(), false);
        int late = 0;
        try {
            if (!sidecar.awaitReady()) {
                return COULD_NOT_RUN;
            }
            for (int round = 0; round < ROUNDS; round++) {
                late += playRound(sidecar, endpoints, round);
            }
        } finally {
            sidecar.stop();
            sidecar.recordLog();
        }
        Record.say("%d of %d requests had an attempt that began later than %d ms after their client's close", late, ROUNDS, LIMIT_MS);
        return late > 0 ? BROKEN : HELD;
    }

    /** Returns 1 if an attempt began too late, else 0. */
    private int playRound(Sidecar sidecar, Map<String, Endpoint> endpoints, int round) throws Exception {
        // The endpoint that served the last small request is the one that is chosen next. It closes the connection after
        // its answer, as endpoints may, so that the next attempt there needs a new connection.
        closesAfterAnswer = true;
        String answer = "";
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            answer = Client.preview(sidecar, "small-" + round + "-" + i);
            Thread.sleep(100);
        }
        closesAfterAnswer = false;
        Endpoint chosen = endpoints.get(answer.substring(answer.lastIndexOf(' ') + 1));
        if (chosen == null) {
            throw new IllegalStateException("no endpoint served the small request: " + answer);
        }
        if (trouble) {
            chosen.holdConnections(LATE_MS);
        }
        String id = "long-" + round;
        double closedMs = leave(sidecar, id);
        Thread.sleep(2_500);
        int late = 0;
        synchronized (begins) {
            for (Begin begin : begins) {
                // What the late endpoint reads may have been written to its connection long before.
                boolean isCounted = !trouble || !begin.endpoint().equals(chosen.id);
                if (begin.id().equals(id) && isCounted) {
                    double afterMs = begin.ms() - closedMs;
                    Record.say("%s: an attempt began at %s %.0f ms after the client's close; it %s", id, begin.endpoint(),
                            afterMs, runs.contains(id + " at " + begin.endpoint()) ? "came whole and ran" : "did not come whole");
                    late = afterMs > LIMIT_MS ? 1 : late;
                }
            }
        }
        return late;
    }

    private boolean handle(Endpoint endpoint, Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.header("x-request-id");
        synchronized (begins) {
            begins.add(new Begin(endpoint.id, id, Record.nowMs()));
        }
        Record.add("endpoint %s: head of %s", endpoint.id, id);
        request.readBody(in);
        synchronized (begins) {
            runs.add(id + " at " + endpoint.id);
        }
        Record.add("endpoint %s: runs %s", endpoint.id, id);
        Thread.sleep(20);
        Endpoint.answer(out, "served by " + endpoint.id);
        return !closesAfterAnswer;
    }

    /** Writes a long request, closes the connection and returns the time of the close. */
    private static double leave(Sidecar sidecar, String id) throws Exception {
        Socket socket = sidecar.connect();
        OutputStream out = socket.getOutputStream();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        out.write(Client.issueHead(id, 6000, body.length));
        out.write(body);
        Record.add("client: %s written whole", id);
        Thread.sleep(LEAVE_MS);
        double closedMs = Record.nowMs();
        socket.close();
        Record.add("client: %s: connection closed", id);
        return closedMs;
    }
}
