package beaconturn.decision;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaField;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the decision package depends on its settings and events alone, so that the same
 * events cause the same actions.
 */
class DeterminismTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("beaconturn.decision");

  /** Collections with an unspecified iteration order, which may differ between processes. */
  private static final Set<String> UNORDERED_TYPES =
      Set.of(
          HashMap.class.getName(),
          HashSet.class.getName(),
          IdentityHashMap.class.getName(),
          ConcurrentHashMap.class.getName());

  private static final Set<String> MACHINE_DEPENDENT_FUNCTIONS =
      Set.of(
          "acos", "asin", "atan", "atan2", "cbrt", "cos", "cosh", "exp", "expm1", "hypot", "log",
          "log10", "log1p", "pow", "sin", "sinh", "tan", "tanh");

  @Test
  void noUnorderedMapsOrSetsAreCreated() {
    noClasses()
        .should()
        .callConstructorWhere(
            DescribedPredicate.describe(
                "makes an unordered map or set",
                call ->
                    UNORDERED_TYPES.contains(call.getTargetOwner().getName())
                        && !call.getOriginOwner().isAssignableTo(LinkedHashMap.class)))
        .check(CLASSES);
    noClasses()
        .should()
        .callMethodWhere(
            DescribedPredicate.describe(
                "makes an unordered map or set",
                call ->
                    ((call.getTargetOwner().isEquivalentTo(Map.class)
                                || call.getTargetOwner().isEquivalentTo(Set.class))
                            && call.getName().matches("of|ofEntries|copyOf"))
                        || call.getName()
                            .matches("toSet|toMap|groupingBy|toUnmodifiableSet|toUnmodifiableMap")))
        .check(CLASSES);
  }

  @Test
  void noStaticStateIsKept() {
    fields().that().areStatic().should().beFinal().andShould(holdNoState()).check(CLASSES);
  }

  /** Ignores synthetic fields, such as the values of an enumeration. */
  private static ArchCondition<JavaField> holdNoState() {
    return new ArchCondition<>("hold no array, collection or map") {
      @Override
      public void check(JavaField field, ConditionEvents events) {
        boolean state =
            (field.getRawType().isArray() && !field.getModifiers().contains(JavaModifier.SYNTHETIC))
                || field.getRawType().isAssignableTo(Collection.class)
                || field.getRawType().isAssignableTo(Map.class);
        events.add(new SimpleConditionEvent(field, !state, field.getFullName()));
      }
    };
  }

  @Test
  void noRandomnessClocksOrIoAreUsed() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .areAssignableTo(Random.class)
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(ThreadLocalRandom.class)
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.time..",
            "java.io..",
            "java.net..",
            "java.nio..",
            "java.util.concurrent..",
            "java.util.logging..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "identityHashCode", Object.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
  }

  /** The results of these methods of {@link Math} may differ between kinds of machines. */
  @Test
  void noFunctionsThatMachinesRoundDifferentlyAreCalled() {
    noClasses()
        .should()
        .callMethodWhere(
            DescribedPredicate.describe(
                "calls a function of Math that StrictMath specifies exactly",
                call ->
                    call.getTargetOwner().isEquivalentTo(Math.class)
                        && MACHINE_DEPENDENT_FUNCTIONS.contains(call.getName())))
        .check(new ClassFileImporter().importPackages("beaconturn"));
  }
}
