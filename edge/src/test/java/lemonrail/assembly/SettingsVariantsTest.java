package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lemonrail.config.ConfigException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Configurations that differ much from each other: the same guarantees apply, and an invalid configuration is rejected.
 */
@Timeout(60)
class SettingsVariantsTest {

    private static final int DEADLINE_MS = 8000;

    /**
     * Pairs of texts to replace in the fixture's configuration, and the names of the idempotent and the non-idempotent
     * class.
     */
    private record Variant(String name, String idempotent, String nonIdempotent, List<String> changes) {
        String applyTo(String config) {
            String changed = config.replace("\"name\":\"read\"", "\"name\":\"" + idempotent + "\"")
                    .replace("\"name\":\"order\"", "\"name\":\"" + nonIdempotent + "\"");
            for (int i = 0; i + 1 < changes.size(); i += 2) {
                assertTrue(changed.contains(changes.get(i)), changes.get(i));
                changed = changed.replace(changes.get(i), changes.get(i + 1));
            }
            return changed;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Variant> variants() {
        return Stream.of(
                new Variant(
                        "long names",
                        "view-" + "x".repeat(200) + "-2",
                        "post-1-" + "y".repeat(200),
                        List.of(
                                "\"cancel\":true",
                                "\"cancel\":false",
                                "\"parallel-tries\":true",
                                "\"parallel-tries\":false",
                                "on_request",
                                "pushed")),
                new Variant(
                        "names outside ASCII",
                        "r\u00e9serv\u00e9",
                        "\u0437\u0430\u043f\u0438\u0441\u044c",
                        List.of("\"max-retry-after-ms\":2000,", "", "\"slo-ms\":9000", "\"slo-ms\":700")),
                new Variant(
                        "one attempt, one class without weight",
                        "a",
                        "b",
                        List.of("\"try-limit\":3", "\"try-limit\":1", "\"worth\":1}]", "\"worth\":0}]")),
                new Variant(
                        "largest values",
                        "read",
                        "order",
                        List.of(
                                "\"hard-limit-ms\":9000",
                                "\"hard-limit-ms\":1e12",
                                "\"slo-ms\":9000",
                                "\"slo-ms\":1e12",
                                "\"dial-timeout-ms\":2000",
                                "\"dial-timeout-ms\":1e12",
                                "\"idle-close-ms\":15000",
                                "\"idle-close-ms\":1e12",
                                "\"try-limit\":3",
                                "\"try-limit\":1e9",
                                "\"max-retry-after-ms\":2000",
                                "\"max-retry-after-ms\":1e12",
                                "\"sockets\":1024",
                                "\"sockets\":1e9",
                                "\"drain-grace-ms\":500",
                                "\"drain-grace-ms\":1e12",
                                "\"cold-ms\":1000",
                                "\"cold-ms\":1e12",
                                "\"worth\":1}",
                                "\"worth\":1e12}")),
                new Variant(
                        "no zones, unknown keys",
                        "read",
                        "order",
                        List.of(
                                "\"azs\":[\"a\"]",
                                "\"azs\":[]",
                                "\"tier\":0",
                                "\"tier\":1,\"no-such-key\":{\"a\":[1]}",
                                "\"weight\":1.0",
                                "\"weight\":0")));
    }

    private final CountDownLatch release = new CountDownLatch(1);
    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        release.countDown();
        fixture.close();
    }

    private static String header(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private String request(Variant variant, String requestClass) {
        return fixture.request(requestClass, DEADLINE_MS)
                .replace(
                        "X-Class: " + requestClass,
                        "X-Class: "
                                + header(requestClass.equals("read") ? variant.idempotent() : variant.nonIdempotent()));
    }

    private int sendRequest(Variant variant, String requestClass) throws IOException {
        try (HttpTestConnection client = fixture.client()) {
            return client.send(request(variant, requestClass)).read().status();
        }
    }

    @ParameterizedTest
    @MethodSource("variants")
    void servesEachVariantWithItsClassNames(Variant variant) throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"));
        fixture.configChange = variant::applyTo;
        fixture.start();
        assertEquals(200, sendRequest(variant, "read"));
        fixture.awaitReusableConnections();
        assertEquals(200, sendRequest(variant, "order"));
        assertEquals(
                400,
                fixture.sendRequest("read".equals(variant.idempotent()) ? "tractor" : "read", DEADLINE_MS)
                        .status());
        assertEquals(
                header(variant.nonIdempotent()),
                fixture.endpoints.get(0).requests.get(1).headers().get("x-class"));
    }

    /** Guards against a second execution under any settings. */
    @ParameterizedTest
    @MethodSource("variants")
    void nonIdempotentRequestThatMayHaveRunIsNotRetried(Variant variant) throws Exception {
        StubEndpoint.RequestHandler resetting = (connection, request) -> connection.reset();
        fixture = new SidecarFixture(new StubEndpoint(resetting), new StubEndpoint(resetting));
        fixture.configChange = variant::applyTo;
        fixture.start();
        assertEquals(502, sendRequest(variant, "order"));
        assertEquals(1, fixture.attempts());
    }

    /** Guards against retries for a disconnected client under any settings. */
    @ParameterizedTest
    @MethodSource("variants")
    void requestOfDisconnectedClientIsNotRetried(Variant variant) throws Exception {
        StubEndpoint.RequestHandler failing = (connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 500, "", "");
        };
        fixture = new SidecarFixture(new StubEndpoint(failing), new StubEndpoint(failing));
        fixture.configChange = variant::applyTo;
        fixture.start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(request(variant, "read"));
            SidecarFixture.await("the request is forwarded", () -> fixture.attempts() == 1);
        }
        SidecarFixture.await("the disconnect is noticed", () -> concurrentRequests() == 0);
        release.countDown();
        SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
        assertEquals(1, fixture.attempts());
    }

    private int concurrentRequests() {
        try {
            String metrics = fixture.callAdmin("GET", "/v1/metrics").body();
            return Integer.parseInt(metrics.replaceAll("(?s).*concurrent=(\\d+).*", "$1"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Guards against requests that get no response at a shutdown, with short and long deadlines. */
    @ParameterizedTest
    @CsvSource({"100", "600", "9000"})
    void shutdownRespondsToRequestsInFlight(int deadlineMs) throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> connection.awaitEnd()));
        fixture.configChange = config -> config.replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":" + deadlineMs);
        fixture.start();
        try (HttpTestConnection client = fixture.client();
                HttpTestConnection persistent = fixture.client()) {
            client.send(fixture.request("order", deadlineMs));
            SidecarFixture.await("the request is forwarded", () -> fixture.attempts() == 1);
            Thread drain = new Thread(fixture.sidecar::shutdownGracefully);
            drain.start();
            SidecarFixture.await(
                    "the sidecar is stopping", () -> fixture.logged().contains("stopping"));
            persistent.send(fixture.request("order", deadlineMs));
            assertTrue(persistent.read().status() >= 500);
            assertTrue(client.read().status() >= 500);
            drain.join();
        }
    }

    /** An invalid setting is reported in one line with the file, the key, the value and the error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"dial-timeout-ms\":2000|\"dial-timeout-ms\":0|dial-timeout-ms|0",
                "\"dial-timeout-ms\":2000,||dial-timeout-ms|",
                "\"try-limit\":3|\"try-limit\":0|try-limit|0",
                "\"idle-close-ms\":15000|\"idle-close-ms\":-1|idle-close-ms|-1",
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":0|deadline|0",
                "\"slo-ms\":9000|\"slo-ms\":\"soon\"|slo-ms|soon",
                "\"effect\":\"once\"|\"effect\":\"twice\"|effect|twice",
                "\"fall-ms\":1000|\"fall-ms\":0|fall-ms|0",
                "\"drain-grace-ms\":500|\"drain-grace-ms\":-5|drain-grace-ms|-5",
                "\"replicas-of-me\":1|\"replicas-of-me\":0|balancers|0"
            })
    void invalidSettingsAreRejectedAtTheStart(String original, String replacement, String key, String value)
            throws IOException {
        fixture = new SidecarFixture();
        fixture.configChange = config -> {
            assertTrue(config.contains(original), original);
            return config.replaceAll(Pattern.quote(original), replacement == null ? "" : replacement);
        };
        try {
            fixture.start();
        } catch (ConfigException e) {
            fixture.sidecar = null;
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
            assertTrue(e.getMessage().contains(fixture.configFile.toString()), e.getMessage());
            assertTrue(e.getMessage().contains(key), e.getMessage());
            assertTrue(value == null || e.getMessage().contains(value), e.getMessage());
            return;
        }
        throw new AssertionError("the sidecar has started with invalid settings");
    }
}
