package lemonrail.lab;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/** Checks that the models use neither sockets nor clocks, and that lower packages do not depend on higher ones. */
class LabLayersTest {

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("lemonrail.lab");

    @Test
    void modelsDependOnlyOnCollectionsAndRandomNumbers() {
        ArchRuleDefinition.classes()
                .that()
                .resideInAPackage("lemonrail.lab.model")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "lemonrail.lab.model",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "org.apache.commons.rng")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("lemonrail.lab.model")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class)
                .check(classes);
    }

    @Test
    void lowerPackagesDoNotDependOnHigherOnes() {
        String[] packagesFromLowest = {
            "lemonrail.lab.model",
            "lemonrail.lab.decider",
            "lemonrail.lab.scenario",
            "lemonrail.lab.host",
            "lemonrail.lab.load",
            "lemonrail.lab.report",
            "lemonrail.lab.scale",
            "lemonrail.lab.scale.path",
            "lemonrail.lab.cli"
        };
        for (int i = 0; i < packagesFromLowest.length; i++) {
            for (int j = i + 1; j < packagesFromLowest.length; j++) {
                ArchRuleDefinition.noClasses()
                        .that()
                        .resideInAPackage(packagesFromLowest[i])
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage(packagesFromLowest[j])
                        .check(classes);
            }
        }
    }

    @Test
    void onlyTestbedReadsTheWallClock() {
        ArchRuleDefinition.noClasses()
                .that()
                .doNotHaveSimpleName("Testbed")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .because("steps of the wall clock must not change a measurement")
                .check(classes);
    }
}
