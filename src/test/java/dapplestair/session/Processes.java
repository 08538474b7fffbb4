package dapplestair.session;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Real processes of the program as tests have it, ended with the test. */
public final class Processes implements AutoCloseable {
  /** How a command ended. */
  public record CommandResult(int code, String out, String err) {
    /** The lines of its output. */
    public List<String> lines() {
      return out.lines().toList();
    }
  }

  private final Path folder;
  private final List<Process> processes = new ArrayList<>();
  private int processCount;

  /** Without processes; their outputs go to files in this folder. */
  public Processes(Path folder) {
    this.folder = folder;
  }

  private ProcessBuilder processBuilder(Map<String, String> environment, String... args) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto", "-cp"));
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add("dapplestair.cli.Main");
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("XDG_CONFIG_HOME", folder.toString());
    builder.environment().remove("DAPPLESTAIR_ENDPOINT");
    builder.environment().remove("DAPPLESTAIR_TOKEN");
    builder.environment().putAll(environment);
    return builder;
  }

  /** Starts a process that stays, and waits for its line `ready …`. */
  public Service startService(String... args) throws Exception {
    return startService(Map.of(), args);
  }

  /** The same with these variables. */
  public Service startService(Map<String, String> environment, String... args) throws Exception {
    File out = folder.resolve("out" + processCount).toFile();
    File err = folder.resolve("err" + processCount++).toFile();
    Process process =
        processBuilder(environment, args).redirectOutput(out).redirectError(err).start();
    processes.add(process);
    for (int i = 0; i < 6000 && process.isAlive(); i++) {
      String text = Files.readString(out.toPath());
      if (text.startsWith("ready ") && text.endsWith("\n")) {
        return new Service(process, text.strip(), err.toPath());
      }
      Thread.sleep(10);
    }
    throw new AssertionError("not ready: " + Files.readString(err.toPath()));
  }

  /** Runs a command to its end. */
  public CommandResult run(Map<String, String> environment, String... args) throws Exception {
    return startCommand(environment, args).await();
  }

  /** Begins a command, without waiting for its end. */
  public RunningCommand startCommand(Map<String, String> environment, String... args)
      throws IOException {
    File out = folder.resolve("out" + processCount).toFile();
    File err = folder.resolve("err" + processCount++).toFile();
    Process process =
        processBuilder(environment, args).redirectOutput(out).redirectError(err).start();
    processes.add(process);
    return new RunningCommand(process, out.toPath(), err.toPath());
  }

  /** A command under way. */
  public record RunningCommand(Process process, Path out, Path err) {
    /** Waits for its end. */
    public CommandResult await() throws Exception {
      if (!process.waitFor(120, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        throw new AssertionError("hangs: " + Files.readString(err));
      }
      return new CommandResult(process.exitValue(), Files.readString(out), Files.readString(err));
    }
  }

  /** A process that serves. */
  public record Service(Process process, String readyLine, Path err) {
    /** An address of its line. */
    public String address(String name) {
      for (String word : readyLine.split(" ")) {
        if (word.startsWith(name + "=")) {
          return word.substring(name.length() + 1);
        }
      }
      throw new AssertionError(name + " is not in: " + readyLine);
    }

    /** SIGKILL. */
    public void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(20, TimeUnit.SECONDS);
    }

    /** SIGTERM; the exit code. */
    public int terminate() throws InterruptedException {
      process.destroy();
      if (!process.waitFor(30, TimeUnit.SECONDS)) {
        throw new AssertionError("does not end");
      }
      return process.exitValue();
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}
