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

/** Checks that no package depends on one of a higher layer. */
class LayersTest {

    /** Packages from the lowest layer to the highest. Packages of one layer do not depend on each other. */
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

    private static int layer(String packageName) {
        for (int i = 0; i < LAYERS.size(); i++) {
            if (LAYERS.get(i).contains(packageName)) {
                return i;
            }
        }
        return -1;
    }

    private static String packageName(JavaClass javaClass) {
        return javaClass.getPackageName().replaceFirst("^lemonrail\\.?", "");
    }

    @Test
    void noPackageDependsOnOneOfTheSameOrAHigherLayer() {
        Set<String> violations = new TreeSet<>();
        List<JavaClass> all = new ArrayList<>(CLASSES);
        all.forEach(from -> from.getDirectDependenciesFromSelf().forEach(dependency -> {
            JavaClass to = dependency.getTargetClass().getBaseComponentType();
            if (to.getPackageName().startsWith("lemonrail")
                    && !packageName(from).equals(packageName(to))
                    && layer(packageName(from)) <= layer(packageName(to))) {
                violations.add(packageName(from) + " depends on " + packageName(to));
            }
        }));
        assertEquals(Set.of(), violations);
        assertEquals(
                Set.of(),
                new TreeSet<>(all.stream()
                        .map(LayersTest::packageName)
                        .filter(packageName -> layer(packageName) < 0)
                        .toList()),
                "each package must belong to a layer");
    }

    @Test
    void coreUsesNoLibrariesOrInputAndOutput() {
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
    void exchangeDependsOnNoProtocol() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("lemonrail.exchange..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.handler..")
                .check(CLASSES);
    }

    /** Guards against libraries of optional features that would be loaded when the platform starts the program. */
    @Test
    void onlyTheirOwnPackagesUseTheLibrariesOfOptionalFeatures() {
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
