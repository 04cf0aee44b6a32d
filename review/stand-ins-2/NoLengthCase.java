import java.util.concurrent.atomic.AtomicInteger;

/** A quarter of the answers have no length: the end of the connection ends them. All of them come whole. */
final class NoLengthCase {

    private static final int REQUESTS = 80;

    private NoLengthCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, NoLengthCase::run);
    }

    private static void run(Rig rig) throws Exception {
        AtomicInteger given = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            rig.addNode("s-" + i, (node, request, out) -> {
                String id = request.header("x-request-id");
                byte[] body = Rig.ascii("quote of " + id);
                if (!Rig.TROUBLE || !hasNoLength(id)) {
                    Rig.writeAnswer(out, body);
                    return true;
                }
                out.write(Rig.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"));
                out.write(body);
                out.flush();
                given.incrementAndGet();
                rig.note("endpoint " + node.id + " has run " + id + " and given a whole answer without a length");
                return false;
            });
        }
        rig.startSidecar();
        int asked = 0;
        int forwarded = 0;
        int othersServed = 0;
        Rig.Client client = rig.connect();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "9b1f03aa5c7e2" + (1000 + i);
            boolean once = i % 8 == 0;
            client.socket.setSoTimeout(8000);
            client.send(once
                    ? Rig.head("POST", id, "quote-once", 6000, "Content-Length: 0\r\n")
                    : Rig.head("GET", id, "quote-preview", 5000, ""));
            Rig.Message answer = client.readAnswer();
            boolean served = answer.status == 200 && new String(answer.body).equals("quote of " + id);
            rig.note("the client asked " + id + (once ? " (once)" : "") + " and got " + answer.first);
            if (hasNoLength(id)) {
                asked++;
                forwarded += served ? 1 : 0;
            } else {
                othersServed += served ? 1 : 0;
            }
            if (answer.header("connection").equals("close")) {
                client.close();
                client = rig.connect();
            }
            Thread.sleep(300);
        }
        String text = given + " answers without a length were given whole to " + asked + " requests, " + forwarded
                + " of them were forwarded; of " + (REQUESTS - asked) + " others " + othersServed + " were served";
        if (!Rig.TROUBLE) {
            rig.end(forwarded == asked ? Rig.HELD : Rig.NOT_RUN, text);
        }
        rig.end(given.get() > 0 && forwarded * 2 < asked ? Rig.BROKEN : Rig.HELD, text);
    }

    private static boolean hasNoLength(String id) {
        return Integer.parseInt(id.substring(id.length() - 4)) % 4 == 0;
    }
}
