package dapplestair;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Skips the failures that KNOWN-RED.txt lists, and no others: each is printed and counted as
 * skipped. An entry whose test passes is printed at the end of the run, and one that names no
 * invocation of its test fails the test's class.
 */
public final class KnownRed
    implements TestExecutionExceptionHandler, AfterTestExecutionCallback, AfterAllCallback {
  /** The list of known failures, at the root of the repository. */
  static final Path FILE = Path.of("KNOWN-RED.txt");

  private static final ExtensionContext.Namespace NAMESPACE =
      ExtensionContext.Namespace.create(KnownRed.class);

  static List<KnownRedEntry> readEntries() {
    if (!Files.exists(FILE)) {
      return List.of();
    }
    try {
      return Files.readAllLines(FILE).stream().map(KnownRedEntry::parse).toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Listed tests that ran in this process; prints those that passed when the process ends. */
  private static final class ExecutedTests implements ExtensionContext.Store.CloseableResource {
    final Set<String> methods = new LinkedHashSet<>();
    final Set<String> invocations = new LinkedHashSet<>();
    final Set<String> passed = new LinkedHashSet<>();

    @Override
    public void close() {
      passed.forEach(
          test -> System.out.printf("KNOWN RED PASSES: %s is still in %s%n", test, FILE));
    }
  }

  private static ExecutedTests executedTests(ExtensionContext context) {
    return context
        .getRoot()
        .getStore(NAMESPACE)
        .getOrComputeIfAbsent(ExecutedTests.class, k -> new ExecutedTests(), ExecutedTests.class);
  }

  private static String testId(String className, String method, String name) {
    return className + "." + method + "[" + name + "]";
  }

  private static KnownRedEntry findEntry(ExtensionContext context) {
    for (KnownRedEntry entry : readEntries()) {
      if (entry.covers(
          context.getRequiredTestClass().getName(),
          context.getRequiredTestMethod().getName(),
          context.getDisplayName())) {
        return entry;
      }
    }
    return null;
  }

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    KnownRedEntry entry = findEntry(context);
    if (entry == null || !entry.covers(failure)) {
      throw failure;
    }
    System.out.printf(
        "KNOWN RED %s: %s%n",
        testId(entry.className(), entry.method(), context.getDisplayName()), failure.getMessage());
    throw new TestAbortedException("known red: " + entry.seen(), failure);
  }

  @Override
  public void afterTestExecution(ExtensionContext context) {
    ExecutedTests executed = executedTests(context);
    String className = context.getRequiredTestClass().getName();
    String method = context.getRequiredTestMethod().getName();
    String name = context.getDisplayName();
    executed.methods.add(className + "." + method);
    executed.invocations.add(testId(className, method, name));
    if (findEntry(context) != null && context.getExecutionException().isEmpty()) {
      executed.passed.add(testId(className, method, name));
    }
  }

  @Override
  public void afterAll(ExtensionContext context) {
    ExecutedTests executed = executedTests(context);
    for (KnownRedEntry entry : readEntries()) {
      for (String name : entry.names()) {
        boolean ran = executed.methods.contains(entry.className() + "." + entry.method());
        String test = testId(entry.className(), entry.method(), name);
        if (ran && !executed.invocations.contains(test)) {
          throw new IllegalStateException(
              FILE + " lists a name that is no invocation of its test: " + test);
        }
      }
    }
  }
}
