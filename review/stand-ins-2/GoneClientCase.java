import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One of nine endpoints has gone silent: connections to it don't come up. A client sends a request with a body of 400 kB
 * and leaves.
 */
final class GoneClientCase {

    private static final int BODY_BYTES = 400_000;
    private static final int ALLOWED_MS = 100;
    private static final String ID = "9b1f03aa5c7e2d41";

    private GoneClientCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, GoneClientCase::run);
    }

    private static void run(Rig rig) throws Exception {
        AtomicReference<Rig.Node> firstChoice = new AtomicReference<>();
        AtomicLong begunMs = new AtomicLong(-1);
        AtomicLong ranMs = new AtomicLong(-1);
        Rig.Behaviour behaviour = new Rig.Behaviour() {
            @Override
            public void onHead(Rig.Node node, Rig.Message request) {
                if (request.header("x-request-id").equals(ID)) {
                    begunMs.set(rig.now());
                }
            }

            @Override
            public boolean answer(Rig.Node node, Rig.Message request, OutputStream out) throws IOException {
                if (request.header("x-request-id").equals(ID)) {
                    ranMs.set(rig.now());
                } else {
                    firstChoice.set(node);
                }
                out.write(Rig.ascii("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"));
                out.flush();
                return false;
            }
        };
        for (int i = 0; i < 9; i++) {
            rig.addNode("s-" + i, behaviour);
        }
        rig.startSidecar();
        try (Rig.Client client = rig.connect()) {
            client.send(Rig.head("GET", "9b1f03aa5c7e2d40", "quote-preview", 5000, ""));
            client.readAnswer();
        }
        if (Rig.TROUBLE) {
            firstChoice.get().vanish();
        }
        Rig.Client client = rig.connect();
        client.send(Rig.head("POST", ID, "quote-issue", 6000,
                "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: " + BODY_BYTES + "\r\n"));
        client.out.write(new byte[BODY_BYTES]);
        client.out.flush();
        client.close();
        long closedMs = rig.now();
        rig.note("the client has sent its request and has closed its connection");
        Thread.sleep(8000);
        if (begunMs.get() < 0) {
            rig.end(Rig.TROUBLE ? Rig.HELD : Rig.NOT_RUN, "no attempt of the request has begun");
        }
        long lateMs = begunMs.get() - closedMs;
        String text = "an attempt began " + lateMs + " ms after the client's close; "
                + (ranMs.get() < 0 ? "no endpoint got all of it" : "an endpoint ran the request " + (ranMs.get() - closedMs)
                        + " ms after the close");
        rig.end(lateMs > ALLOWED_MS ? Rig.BROKEN : Rig.HELD, text);
    }
}
