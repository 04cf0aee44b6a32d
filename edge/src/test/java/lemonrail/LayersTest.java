package lemonrail;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which package may know which: lower ones know nothing of higher ones. */
class LayersTest {

    /** From the lowest to the highest; those of one row know nothing of each other. */
    private static final List<Set<String>> LAYERS = List.of(
            Set.of("core.balancer"),
            Set.of("core"),
            Set.of("core.policy", "core.replication"),
            Set.of("time", "net", "json", "streaming", "lifecycle", "metrics"),
            Set.of("logging"),
            Set.of("upgrade", "suspension", "discovery", "admin"),
            Set.of("config", "exchange"),
            Set.of("http1"),
            Set.of("assembly", "simulator", "control"),
            Set.of("cli"));

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("lemonrail");

    private static int layer(String part) {
        for (int i = 0; i < LAYERS.size(); i++) {
            if (LAYERS.get(i).contains(part)) {
                return i;
            }
        }
        return -1;
    }

    private static String part(JavaClass of) {
        return of.getPackageName().replaceFirst("^lemonrail\\.?", "");
    }

    @Test
    void noPackageKnowsAHigherOne() {
        Set<String> wrong = new TreeSet<>();
        List<JavaClass> all = new ArrayList<>(CLASSES);
        all.forEach(from -> from.getDirectDependenciesFromSelf().forEach(known -> {
            JavaClass to = known.getTargetClass().getBaseComponentType();
            if (to.getPackageName().startsWith("lemonrail")
                    && !part(from).equals(part(to))
                    && layer(part(from)) <= layer(part(to))) {
                wrong.add(part(from) + " knows " + part(to));
            }
        }));
        assertEquals(Set.of(), wrong);
        assertEquals(
                Set.of(),
                new TreeSet<>(all.stream()
                        .map(LayersTest::part)
                        .filter(part -> layer(part) < 0)
                        .toList()),
                "each package has its place");
    }

    @Test
    void theCoreKnowsNoLibraryAndDoesNoInputOrOutput() {
        ArchRuleDefinition.classes()
                .that()
                .resideInAPackage("lemonrail.core..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("lemonrail.core..", "java.lang..", "java.util..")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("lemonrail.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..", "java.util.logging..")
                .check(CLASSES);
    }

    @Test
    void theExchangeKnowsNoProtocol() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("lemonrail.exchange..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.handler..")
                .check(CLASSES);
    }

    /** Guards against libraries that the platform's call would have to load. */
    @Test
    void onlyTheirOwnPackagesKnowTheLibrariesOfOptionalParts() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackage("lemonrail.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("picocli..")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackage("lemonrail.logging..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("ch.qos.logback..", "org.slf4j..")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackage("lemonrail.config..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("com.fasterxml.jackson.databind..", "com.fasterxml.jackson.dataformat..")
                .check(CLASSES);
    }
}
