package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the watch protocol of the registry that stands in for the control plane. */
@Timeout(30)
class RegistryNodeTest {

    private static final Site SITE = new Site(12, 3, 2, 2, 4);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newHttpClient();
    private RegistryNode node;
    private InetSocketAddress allAddress;

    @BeforeEach
    void open() {
        node = new RegistryNode("test");
        node.replaceList(Site.ALL, SITE.createEntries());
        allAddress = node.address(Site.ALL, "one");
    }

    @AfterEach
    void close() {
        node.close();
    }

    private CompletableFuture<JsonNode> poll(InetSocketAddress at, String query) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + at.getPort() + "/registry/instances" + query))
                .timeout(Duration.ofSeconds(10))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).thenApply(response -> {
            try {
                return JSON.readTree(response.body());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static Map<String, List<EndpointEntry>> weigh(int endpoint, double weight) {
        return Map.of(Site.ALL, List.of(SITE.createEntry(endpoint).withWeight(weight)));
    }

    @Test
    void firstPollReturnsTheFullListAndLaterOnesOnlyChanges() {
        JsonNode fullList = poll(allAddress, "").join();
        assertTrue(fullList.get("full").booleanValue());
        assertEquals(12, fullList.get("servers").size());
        long version = fullList.get("version").longValue();
        node.apply(weigh(3, 2));
        node.apply(weigh(3, 4));
        node.apply(weigh(5, 2));
        JsonNode delta = poll(allAddress, "?index=" + version + "&wait=5000").join();
        assertFalse(delta.get("full").booleanValue());
        assertEquals(version + 3, delta.get("version").longValue());
        assertEquals(2, delta.get("servers").size(), "an endpoint that changed twice is sent once");
        assertTrue(delta.toString().contains("\"weight\":4.0"), delta.toString());
    }

    @Test
    void watchWaitsUntilAChange() throws Exception {
        long version = poll(allAddress, "").join().get("version").longValue();
        CompletableFuture<JsonNode> watch = poll(allAddress, "?index=" + version + "&wait=9000");
        while (node.takeCalls("one").isEmpty()) {
            Thread.onSpinWait();
        }
        assertFalse(watch.isDone());
        node.apply(weigh(1, 3));
        assertEquals(version + 1, watch.get(5, TimeUnit.SECONDS).get("version").longValue());
    }

    @Test
    void watchWithoutChangesEndsEmptyAfterItsWaitTime() {
        long version = poll(allAddress, "").join().get("version").longValue();
        JsonNode empty = poll(allAddress, "?index=" + version + "&wait=20").join();
        assertEquals(version, empty.get("version").longValue());
        assertEquals(0, empty.get("servers").size());
        assertFalse(empty.get("full").booleanValue());
    }

    @Test
    void terminatedEndpointsAreSentOnlyAsChanges() {
        long version = poll(allAddress, "").join().get("version").longValue();
        node.apply(Map.of(Site.ALL, List.of(SITE.createEntry(2).withState(EndpointEntry.State.TERMINATED))));
        assertTrue(poll(allAddress, "?index=" + version + "&wait=0")
                .join()
                .toString()
                .contains("terminated"));
        assertEquals(11, poll(allAddress, "").join().get("servers").size());
    }

    @Test
    void watchFromBeforeARestartGetsTheFullList() {
        node.apply(weigh(1, 3));
        long version = poll(allAddress, "").join().get("version").longValue();
        node.stop();
        assertThrows(Exception.class, () -> poll(allAddress, "").join(), "a stopped node does not respond");
        node.start(true);
        JsonNode fullList = poll(allAddress, "?index=" + version + "&wait=5000").join();
        assertTrue(fullList.get("full").booleanValue());
        assertTrue(fullList.get("version").longValue() < version);
    }

    @Test
    void restartThatKeepsVersionsSendsOnlyChanges() {
        long version = poll(allAddress, "").join().get("version").longValue();
        node.stop();
        node.apply(weigh(1, 3));
        node.start(false);
        JsonNode delta = poll(allAddress, "?index=" + version + "&wait=5000").join();
        assertFalse(delta.get("full").booleanValue());
        assertEquals(1, delta.get("servers").size());
    }

    @Test
    void listsAndTrafficAreCountedSeparately() {
        node.replaceList("service-1", List.of(SITE.createEntry(1)));
        InetSocketAddress other = node.address("service-1", "two");
        assertEquals(1, poll(other, "").join().get("servers").size());
        long ownBytes = node.takeTraffic("two").bytes();
        assertEquals(0, node.takeTraffic("one").bytes());
        assertTrue(ownBytes > 100, "bytes: " + ownBytes);
        assertEquals(ownBytes, node.takeCost().bytes());
        assertEquals(0, node.takeTraffic("two").bytes(), "traffic is reported only once");
    }
}
