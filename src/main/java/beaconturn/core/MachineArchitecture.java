package beaconturn.core;

import java.util.Set;

/** The kind of machine that the program runs on, as far as options and memory depend on it. */
public final class MachineArchitecture {
  /** The names that JVMs give to x86-64 in the property {@code os.arch}. */
  private static final Set<String> X86_64_NAMES = Set.of("amd64", "x86_64");

  private MachineArchitecture() {}

  /** The name of this machine's architecture, the value of the property {@code os.arch}. */
  public static String ofThisMachine() {
    return System.getProperty("os.arch");
  }

  /** Whether the name, a value of the property {@code os.arch}, stands for x86-64. */
  public static boolean isIntel64(String name) {
    return X86_64_NAMES.contains(name);
  }
}
