import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * Sixty clients send 3 MB of a body of 8 MB at full speed, then stop in the middle of their request and stay. Another
 * client goes on asking once a second.
 */
final class StoppedClientCase {

    private static final int CLIENTS = 60;
    private static final int BODY_BYTES = 8_000_000;
    private static final int SENT_BYTES = 3_000_000;
    private static final int WATCHED_MS = 70_000;

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
        List<Rig.Client> clients = new ArrayList<>();
        List<Long> connectedMs = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            connectedMs.add(rig.now());
            Rig.Client client = rig.connect();
            clients.add(client);
            client.send(Rig.head("POST", "stopped-" + i, "quote-issue", 6000,
                    "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f3" + (1000 + i) + "\r\nContent-Length: " + BODY_BYTES
                            + "\r\n"));
            sendBody(client);
            rig.note("client " + i + " has sent " + (Rig.TROUBLE ? SENT_BYTES + " of " : "all ") + BODY_BYTES + " bytes "
                    + (rig.now() - connectedMs.get(i)) + " ms after it connected" + (Rig.TROUBLE ? ", and stops" : ""));
        }
        long untilMs = rig.now() + (Rig.TROUBLE ? WATCHED_MS : 8000);
        int asked = 0;
        int served = 0;
        while (rig.now() < untilMs) {
            try (Rig.Client other = rig.connect()) {
                other.socket.setSoTimeout(6000);
                other.send(Rig.head("GET", "other-" + asked++, "quote-preview", 5000, ""));
                Rig.Message answer = other.readAnswer();
                served += answer.status == 200 ? 1 : 0;
                rig.note("another client got " + answer.first);
            }
            Thread.sleep(1000);
        }
        int waiting = 0;
        for (int i = 0; i < CLIENTS; i++) {
            waiting += isWaiting(rig, clients.get(i), i) ? 1 : 0;
        }
        String text = waiting + " of " + CLIENTS + " clients have got neither an answer nor a close "
                + (rig.now() - connectedMs.get(CLIENTS - 1)) + " ms after connecting; of " + asked
                + " requests of another client " + served + " were served";
        rig.end(waiting > 0 ? Rig.BROKEN : Rig.HELD, text);
    }

    private static void sendBody(Rig.Client client) throws IOException {
        try {
            client.out.write(new byte[Rig.TROUBLE ? SENT_BYTES : BODY_BYTES]);
            client.out.flush();
        } catch (IOException e) {
            // The sidecar has answered and closed: its answer is read below.
        }
    }

    private static boolean isWaiting(Rig rig, Rig.Client client, int number) throws IOException {
        client.socket.setSoTimeout(20);
        try {
            rig.note("client " + number + " got " + Rig.readHead(client.in).first);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            rig.note("client " + number + " was closed: " + e.getMessage());
            return false;
        }
    }
}
