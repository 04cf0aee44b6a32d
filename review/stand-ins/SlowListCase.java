import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are asked for, and an endpoint begins to drain. With the disruption, discovery is slow: each of its answers comes
 * 1 s after the wait that the call names is over. New work may go to the endpoint for the grace of the settings after
 * the sidecar is told, which is 6 s after discovery had the change at the latest. The endpoint's process ends long after.
 */
final class SlowListCase extends Case {

    private static final int ENDPOINTS = 8;
    private static final int REQUESTS_PER_S = 31;
    private static final int WORK_MS = 300;
    private static final int LAG_MS = 1_000;
    /** Discovery is slow for this time before and after the drain begins, 23 s in all. */
    private static final int SLOW_BEFORE_MS = 2_000;

    private static final int SLOW_AFTER_MS = 21_000;
    /** Told at the latest 6 s after discovery had the change, then the grace of 1.5 s, and 50 ms for sockets. */
    private static final int TOLD_MS = 6_000;

    private static final int GRACE_MS = 1_550;
    /** When the endpoint's process may end, having had time to finish what it was sent within the grace. */
    private static final int PROCESS_END_MS = 18_000;

    private record Send(String endpoint, String id, double ms) {}

    private final List<Send> sends = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final Set<String> inWork = ConcurrentHashMap.newKeySet();
    private volatile boolean clientsRun = true;

    public static void main(String[] arguments) {
        new SlowListCase().start(arguments);
    }

    private boolean handle(Endpoint endpoint, Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.header("x-request-id");
        synchronized (sends) {
            sends.add(new Send(endpoint.id, id, Record.nowMs()));
        }
        request.readBody(in);
        Record.add("endpoint %s: runs %s", endpoint.id, id);
        inWork.add(endpoint.id + " " + id);
        Thread.sleep(WORK_MS);
        inWork.remove(endpoint.id + " " + id);
        Endpoint.answer(out, "seat of " + id);
        return true;
    }

    @Override
    int run() throws Exception {
        Agent discovery = new Agent();
        Map<String, Endpoint> endpoints = new HashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint(Deployment.TICKET_HALL, "s-5be2a0" + i, i / 4, this::handle);
            endpoints.put(endpoint.id, endpoint);
            discovery.put(endpoint.id, endpoint.json("in_service", 0));
        }
        Sidecar sidecar = new Sidecar(root, folder, "n1", discovery, discovery.list(), Deployment.TICKET_HALL);
        try {
            if (!sidecar.awaitReady()) {
                return COULD_NOT_RUN;
            }
            Threads.start("clients", () -> sendRequests(sidecar));
            Thread.sleep(5_000);
            Endpoint busiest = endpoints.get(busiest());
            discovery.setLag(trouble ? LAG_MS : 0);
            Thread.sleep(SLOW_BEFORE_MS);
            double drainMs = Record.nowMs();
            discovery.put(busiest.id, busiest.json("terminating", 0));
            Record.say("endpoint %s: discovery has it as terminating", busiest.id);
            Thread.sleep(PROCESS_END_MS);
            awaitWork(busiest.id);
            busiest.end();
            Record.say("endpoint %s: its process ends, %.0f ms later", busiest.id, Record.nowMs() - drainMs);
            discovery.put(busiest.id, busiest.json("terminated", 0));
            Threads.sleep(Math.max(0, drainMs + SLOW_AFTER_MS - Record.nowMs()));
            discovery.setLag(0);
            Thread.sleep(3_000);
            clientsRun = false;
            Thread.sleep(1_000);
            return judge(busiest.id, drainMs);
        } finally {
            sidecar.stop();
            sidecar.recordLog();
        }
    }

    /** Waits, for 2 s at most, until the endpoint has a request in work. */
    private void awaitWork(String id) throws InterruptedException {
        double endMs = Record.nowMs() + 2_000;
        while (Record.nowMs() < endMs && inWork.stream().noneMatch(work -> work.startsWith(id + " "))) {
            Thread.sleep(5);
        }
    }

    private void sendRequests(Sidecar sidecar) throws Exception {
        while (clientsRun) {
            String id = "seat-" + number.incrementAndGet();
            Threads.start("client-of-" + id, () -> answers.put(id, Client.seat(sidecar, id)));
            Threads.sleep(1000.0 / REQUESTS_PER_S);
        }
    }

    private String busiest() {
        Map<String, Integer> counts = new HashMap<>();
        synchronized (sends) {
            sends.forEach(send -> counts.merge(send.endpoint(), 1, Integer::sum));
        }
        Record.add("requests by endpoint so far: %s", counts);
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
    }

    private int judge(String drained, double drainMs) {
        int late = 0;
        int lost = 0;
        double lastMs = 0;
        synchronized (sends) {
            for (Send send : sends) {
                double afterMs = send.ms() - drainMs;
                if (send.endpoint().equals(drained) && afterMs > 0) {
                    Record.add("%s was sent to the draining endpoint after %.0f ms", send.id(), afterMs);
                    lastMs = Math.max(lastMs, afterMs);
                    boolean isLate = afterMs > TOLD_MS + GRACE_MS;
                    late += isLate ? 1 : 0;
                    lost += isLate && !answers.getOrDefault(send.id(), "").startsWith("HTTP/1.1 200") ? 1 : 0;
                }
            }
        }
        Record.say("%d requests were sent to the endpoint later than %d ms after discovery had its drain, the last of all after %.0f ms;"
                + " %d of them were cut off by the end of its process and had no 200", late, TOLD_MS + GRACE_MS, lastMs, lost);
        return late > 0 ? BROKEN : HELD;
    }
}
