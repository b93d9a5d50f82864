package org.cowslipdale.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Keeps I/O, clocks and threads out of the decision core. */
class ArchitectureTests {

  private static JavaClasses core;

  @BeforeAll
  static void importClasses() {
    core =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.cowslipdale.core");
  }

  @Test
  void coreDoesNotDependOnIo() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.file..",
            "java.nio.channels..",
            "io.vertx..",
            "io.netty..",
            "org.slf4j..",
            "com.fasterxml..")
        .check(core);
  }

  @Test
  void coreDoesNotUseThreadsOrClocks() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(core);
  }

  @Test
  void packagesAreAcyclic() {
    slices().matching("org.cowslipdale.core.(*)..").should().beFreeOfCycles().check(core);
  }
}
