import java.io.IOException;
import java.util.Arrays;

/** A client reads a long answer steadily, 128 kB a second; the endpoint gives all of it at once. */
final class SlowReaderCase {

    private static final int ANSWER_BYTES = 12_000_000;
    private static final int PIECE_BYTES = 128_000;
    private static final int PIECE_MS = 1000;

    private SlowReaderCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, SlowReaderCase::run);
    }

    private static void run(Rig rig) throws Exception {
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'q');
        for (int i = 0; i < 6; i++) {
            rig.addNode("s-" + i, (node, request, out) -> {
                Rig.writeAnswer(out, answer);
                rig.note("endpoint " + node.id + " has given the whole answer");
                return true;
            });
        }
        rig.startSidecar();
        try (Rig.Client client = rig.connect()) {
            client.socket.setSoTimeout(30_000);
            client.send(Rig.head("GET", "9b1f03aa5c7e2d41", "quote-preview", 5000, ""));
            Rig.Message head = Rig.readHead(client.in);
            rig.note("the client got " + head.first + " " + head.headers);
            if (head.status != 200) {
                rig.end(Rig.NOT_RUN, "the request was not served: " + head.first);
            }
            long startedMs = rig.now();
            long bytes = 0;
            for (int piece = 1; bytes < ANSWER_BYTES; piece++) {
                int wanted = (int) Math.min(PIECE_BYTES, ANSWER_BYTES - bytes);
                int got = read(rig, client, wanted, bytes);
                bytes += got;
                if (got < wanted) {
                    rig.end(Rig.BROKEN, "the answer was cut off after " + bytes + " of " + ANSWER_BYTES
                            + " bytes, " + (rig.now() - startedMs) + " ms after its head; its client read every second");
                }
                if (Rig.TROUBLE) {
                    if (piece % 10 == 0) {
                        rig.note("the client has read " + bytes + " bytes");
                    }
                    Thread.sleep(Math.max(0, startedMs + (long) piece * PIECE_MS - rig.now()));
                }
            }
            rig.end(Rig.HELD, "the client got the whole answer, " + bytes + " bytes");
        }
    }

    private static int read(Rig rig, Rig.Client client, int wanted, long before) {
        try {
            return client.in.readNBytes(wanted).length;
        } catch (IOException e) {
            rig.note("the client's connection ended after " + before + " bytes: " + e.getMessage());
            return 0;
        }
    }
}
