package lemonrail.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which settings documents are valid, and which values an edge overrides with them. */
class SettingsDocumentTest {

    private static final BalancerSettings OWN_SETTINGS = new BalancerSettings(
            1,
            0,
            0,
            0,
            false,
            false,
            0.2,
            0,
            List.of(
                    new RequestClass(
                            "read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                    new RequestClass(
                            "order", 1000, 3000, 5, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
            List.of(new TenantQuota("acme", 10, 0)),
            new AttemptLimits(3, false, true, 2000, 200),
            new SlowStartSettings(0.3, 8000, 3, 1000),
            new DrainSettings(1000),
            1e12);

    @Test
    void overridesOnlyWhatTheDocumentNames() {
        BalancerSettings overridden = SettingsDocument.applyOverrides(OWN_SETTINGS, """
            [[classes]]
            name = "order"
            aim = "500ms"
            worth = 7
            [[tenants]]
            name = "acme"
            rate = 20
            [limits]
            attempts = 2
            retry-after = "4s"
            """);
        assertEquals(OWN_SETTINGS.classes().get(0), overridden.classes().get(0));
        assertEquals(
                new RequestClass(
                        "order", 500, 3000, 7, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                overridden.classes().get(1));
        assertEquals(List.of(new TenantQuota("acme", 20, 0)), overridden.tenants());
        assertEquals(new AttemptLimits(2, false, true, 4000, 200), overridden.limits());
        assertEquals(OWN_SETTINGS.slowStart(), overridden.slowStart());
        assertEquals(OWN_SETTINGS.drain(), overridden.drain());
        assertEquals(OWN_SETTINGS.pollIntervalMs(), overridden.pollIntervalMs());
        assertEquals(OWN_SETTINGS, SettingsDocument.applyOverrides(OWN_SETTINGS, ""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "x =|invalid TOML",
                "name = 'edge'|settings:1: name = \"edge\": unknown key",
                "[[classes]];name = 'read';effect = 'once'|classes[0].effect = \"once\": unknown key",
                "[[classes]];name = 'read';aim = 500|settings:3: classes[0].aim = 500: must be a time with its unit",
                "[[classes]];name = 'read';[[classes]];name = 'read'|is used twice",
                "[[classes]];aim = '1s'|classes[0].name: is missing",
                "[limits];descriptors = 10|limits.descriptors = 10: unknown key",
                "[drain];grace = '1s'|drain"
            })
    void rejectsInvalidDocumentsWithTheirLine(String text, String expectedMessage) {
        String document = text.replace(';', '\n');
        ConfigException e = assertThrows(ConfigException.class, () -> SettingsDocument.check(document));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
        assertThrows(ConfigException.class, () -> SettingsDocument.applyOverrides(OWN_SETTINGS, document));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[[classes]];name = 'write';aim = '1s'|is unknown to this edge; it has [read, order]",
                "[[tenants]];name = 'other';rate = 1|is unknown to this edge; it has [acme]",
                "[[classes]];name = 'read';aim = '4s'|would have an aim above its deadline",
                "[[classes]];name = 'read';deadline = '900ms'|would have an aim above its deadline",
                "[[classes]];name = 'order';worth = 0.1|would have a late-worth above its worth",
                "[[classes]];name = 'read';aim = '1ms';deadline = '100ms'|limits.connect-timeout"
            })
    void rejectsDocumentsThatConflictWithTheEdgesOwnSettings(String text, String expectedMessage) {
        String document = text.replace(';', '\n');
        SettingsDocument.check(document);
        ConfigException e =
                assertThrows(ConfigException.class, () -> SettingsDocument.applyOverrides(OWN_SETTINGS, document));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }
}
