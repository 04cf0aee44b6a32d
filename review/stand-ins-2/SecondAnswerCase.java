import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Of every third answer a second copy comes 1 to 15 ms late, if nothing else waits on the connection by then. */
final class SecondAnswerCase {

    private static final int CLIENTS = 4;
    private static final int RUN_MS = 100_000;
    private static final int MAX_LATE_MICROS = 15_000;

    private SecondAnswerCase() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, SecondAnswerCase::run);
    }

    private static void run(Rig rig) throws Exception {
        AtomicInteger copies = new AtomicInteger();
        Random random = new Random(1);
        for (int i = 0; i < 4; i++) {
            rig.addNode("s-" + i, (node, request, out) -> {
                String id = request.header("x-request-id");
                Thread.sleep(1 + random.nextInt(4));
                byte[] answer = answer(id);
                out.write(answer);
                out.flush();
                if (Rig.TROUBLE && random.nextInt(3) == 0
                        && staysIdle(request, 1000 + random.nextInt(MAX_LATE_MICROS - 1000))) {
                    out.write(answer);
                    out.flush();
                    copies.incrementAndGet();
                    rig.note("endpoint " + node.id + " has sent a second copy of the answer to " + id);
                }
                return true;
            });
        }
        rig.startSidecar();
        AtomicInteger right = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        long endMs = rig.now() + RUN_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Rig.daemon("client " + i, () -> {
                Random pauses = new Random(100 + number);
                Rig.Client client = rig.connect();
                for (int k = 0; rig.now() < endMs; k++) {
                    String id = "c" + number + "-" + k;
                    try {
                        client.socket.setSoTimeout(8000);
                        client.send(Rig.head("GET", id, "quote-preview", 5000, ""));
                        Rig.Message message = client.readAnswer();
                        String body = new String(message.body);
                        if (message.status != 200) {
                            others.incrementAndGet();
                        } else if (body.equals("quote of " + id)) {
                            right.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            rig.note("FOREIGN: the client asked " + id + " and got 200 with \"" + body + "\"");
                        }
                        if (message.header("connection").equals("close")) {
                            client.close();
                            client = rig.connect();
                        }
                    } catch (IOException e) {
                        others.incrementAndGet();
                        client.close();
                        client = rig.connect();
                    }
                    Thread.sleep(5 + pauses.nextInt(50));
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        String text = foreign + " clients got an answer made for another request, " + right + " their own, " + others
                + " none; second copies: " + copies;
        if (foreign.get() > 0) {
            rig.end(Rig.BROKEN, text);
        }
        rig.end(right.get() > 1000 ? Rig.HELD : Rig.NOT_RUN, text);
    }

    private static byte[] answer(String id) {
        String body = "quote of " + id;
        return Rig.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Waits; returns whether no byte of another request has come by then. */
    private static boolean staysIdle(Rig.Message request, long micros) throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + micros * 1000;
        while (System.nanoTime() < untilNs) {
            if (request.rest.available() > 0) {
                return false;
            }
            if (untilNs - System.nanoTime() > 400_000) {
                Thread.sleep(0, 200_000);
            }
        }
        return request.rest.available() == 0;
    }
}
