package lemonrail.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import lemonrail.lab.model.Arrivals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the load generator against the JDK's HTTP server. */
@Timeout(60)
class OpenLoopTest {

    private final AtomicInteger requestCount = new AtomicInteger();
    private HttpServer server;
    private ExecutorService workers;
    private volatile int status = 200;
    /**
     * Index of the request whose response is delayed by {@link #slowMs}. There is one worker, so that later requests
     * wait for it.
     */
    private volatile int slowIndex = -1;

    private volatile int slowMs;

    @BeforeEach
    void startServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000);
        server.createContext("/", exchange -> {
            if (requestCount.getAndIncrement() == slowIndex) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(slowMs));
            }
            exchange.sendResponseHeaders(status, 2);
            exchange.getResponseBody().write(new byte[2]);
            exchange.close();
        });
        workers = Executors.newSingleThreadExecutor();
        server.setExecutor(workers);
        server.start();
    }

    @AfterEach
    void stopServer() {
        server.stop(0);
        workers.shutdownNow();
    }

    private OpenLoop.Result load(double rate, double lengthMs, double warmUpMs, int connections) {
        try (Loads loads = new Loads()) {
            return loads.play(
                    server.getAddress(),
                    new OpenLoop.Plan(rate, lengthMs, warmUpMs, connections, 30_000, Arrivals.Spacing.EVEN),
                    1,
                    Loads.requests(HttpMethod.GET, "test", "/x", Map.of(), false, 5));
        }
    }

    @Test
    void allRequestsAreSentAndTheWarmUpIsNotCounted() {
        OpenLoop.Result result = load(200, 2000, 500, 100);
        assertEquals(399, requestCount.get(), 2);
        assertEquals(300, (float) result.sent(), 2);
        assertEquals(result.sent(), result.served());
        assertEquals(result.served(), result.servedMicros().getTotalCount());
    }

    @Test
    void stallCountsForAllRequestsDueDuringIt() {
        slowIndex = 100;
        slowMs = 1000;
        OpenLoop.Result result = load(100, 3000, 0, 500);
        // A generator that waits for responses would have recorded one slow request in about 200. Half of the requests
        // that were due during the stall waited for at least half of it.
        assertTrue(result.percentileMs(80) > 300, "p80 " + result.percentileMs(80));
        assertEquals(result.sent(), result.served());
    }

    @Test
    void responsesAreCountedByStatus() {
        status = 503;
        assertEquals(99, (float) load(100, 1000, 0, 10).refused(), 1);
        status = 500;
        OpenLoop.Result failed = load(100, 1000, 0, 10);
        assertEquals(failed.sent(), failed.failed());
    }

    @Test
    void lackOfConnectionsMakesTheRunVoid() {
        slowIndex = 10;
        slowMs = 500;
        OpenLoop.Result result = load(200, 1000, 0, 1);
        assertTrue(result.waited() > 20);
        assertTrue(result.isVoid());
        assertEquals(result.sent(), result.served());
    }

    @Test
    void requestsToAStoppedServerAreLost() {
        server.stop(0);
        OpenLoop.Result result = load(100, 500, 0, 10);
        assertEquals(result.sent(), result.lost());
        assertFalse(result.sent() == 0);
    }
}
