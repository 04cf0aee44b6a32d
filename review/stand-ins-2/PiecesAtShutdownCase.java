import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart. A client goes on using its open connection and gets a long answer, which the endpoint gives in four
 * pieces, one a second. SIGKILL follows SIGTERM after 8 s, when the answer has long been given.
 */
final class PiecesAtShutdownCase {

    private static final int PIECE_BYTES = 128 * 1024;
    private static final int PIECES = 4;
    private static final int PIECE_MS = 1000;
    /** When the requests are sent, counted from SIGTERM. */
    private static final int[] SENT_MS = {1400, 1500, 1600};

    private static final int KILL_MS = 8000;

    private PiecesAtShutdownCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, PiecesAtShutdownCase::run);
    }

    private static void run(Rig rig) throws Exception {
        for (int i = 0; i < 6; i++) {
            rig.addNode("s-" + i, (node, request, out) -> {
                out.write(Rig.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES * PIECE_BYTES + "\r\n\r\n"));
                for (int piece = 1; piece <= PIECES; piece++) {
                    out.write(new byte[PIECE_BYTES]);
                    out.flush();
                    rig.note("endpoint " + node.id + " has given piece " + piece + " of " + PIECES + " of "
                            + request.header("x-request-id"));
                    Thread.sleep(piece < PIECES ? PIECE_MS : 0);
                }
                return true;
            });
        }
        rig.startSidecar();
        List<Rig.Client> clients = new ArrayList<>();
        for (int sentMs : SENT_MS) {
            clients.add(rig.connect());
        }
        Thread.sleep(500);
        long termMs = rig.now();
        if (Rig.TROUBLE) {
            rig.terminateSidecar();
        }
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SENT_MS.length; i++) {
            Rig.Client client = clients.get(i);
            long sendAtMs = termMs + SENT_MS[i];
            String id = "9b1f03aa5c7e2d4" + i;
            threads.add(Rig.daemon("client " + i, () -> {
                Thread.sleep(sendAtMs - rig.now());
                client.socket.setSoTimeout(KILL_MS);
                client.send(Rig.head("GET", id, "quote-preview", 5000, ""));
                rig.note("the client sent " + id + ", " + (rig.now() - termMs) + " ms after SIGTERM");
                Rig.Message head = Rig.readHead(client.in);
                rig.note("the client got the head of " + id + ": " + head.first);
                try {
                    Rig.readBody(client.in, head);
                    whole.addAndGet(head.status == 200 ? 1 : 0);
                    rig.note("the client got the whole answer to " + id);
                } catch (EOFException e) {
                    if (rig.now() < termMs + KILL_MS) {
                        cut.incrementAndGet();
                        rig.note("the answer to " + id + " was cut off " + (rig.now() - termMs) + " ms after SIGTERM: "
                                + e.getMessage());
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(Math.max(1, termMs + KILL_MS - rig.now()));
        }
        Thread.sleep(Math.max(0, termMs + KILL_MS - rig.now()));
        if (Rig.TROUBLE) {
            rig.note("SIGKILL to the sidecar, if it still runs: " + rig.sidecarRuns());
            rig.killSidecar();
        }
        if (cut.get() > 0) {
            rig.end(Rig.BROKEN, cut + " of " + SENT_MS.length + " answers were cut off before SIGKILL; whole: " + whole);
        }
        rig.end(whole.get() == SENT_MS.length ? Rig.HELD : Rig.NOT_RUN, whole + " of " + SENT_MS.length + " whole answers");
    }
}
