import java.io.IOException;
import java.net.SocketTimeoutException;

/** A client sends half of a body of 8 MB at full speed, then stops in the middle of its request and stays. */
final class StoppedClientCase {

    private static final int BODY_BYTES = 8_000_000;
    private static final int SENT_BYTES = 4_000_000;
    private static final int WATCHED_MS = 90_000;

    private StoppedClientCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, StoppedClientCase::run);
    }

    private static void run(Rig rig) throws Exception {
        for (int i = 0; i < 6; i++) {
            rig.addNode("s-" + i, (node, request, out) -> {
                Rig.writeAnswer(out, Rig.ascii("quote 17"));
                return true;
            });
        }
        rig.startSidecar();
        long connectedMs = rig.now();
        try (Rig.Client client = rig.connect()) {
            client.send(Rig.head("POST", "9b1f03aa5c7e2d41", "quote-issue", 6000,
                    "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: " + BODY_BYTES + "\r\n"));
            client.out.write(new byte[Rig.TROUBLE ? SENT_BYTES : BODY_BYTES]);
            client.out.flush();
            rig.note("the client has sent " + (Rig.TROUBLE ? SENT_BYTES + " of " : "all ") + BODY_BYTES + " bytes after "
                    + (rig.now() - connectedMs) + " ms" + (Rig.TROUBLE ? ", and stops" : ""));
            client.socket.setSoTimeout(WATCHED_MS);
            try {
                Rig.Message answer = client.readAnswer();
                rig.end(Rig.HELD, "the client got " + answer.first + " " + (rig.now() - connectedMs)
                        + " ms after it connected");
            } catch (SocketTimeoutException e) {
                rig.end(Rig.BROKEN, "neither an answer nor a close within " + (rig.now() - connectedMs)
                        + " ms of connecting; owed within 3000 ms");
            } catch (IOException e) {
                rig.end(Rig.HELD, "the connection was closed after " + (rig.now() - connectedMs) + " ms");
            }
        }
    }
}
