package dapplestair.session;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts real processes of the program from the test's class path, and ends them with the test. */
public final class Processes implements AutoCloseable {
  /** The exit code and the output of a command. */
  public record CommandResult(int code, String out, String err) {
    /** Returns the lines of the command's standard output. */
    public List<String> lines() {
      return out.lines().toList();
    }
  }

  private final Path folder;
  private final List<Process> processes = new ArrayList<>();
  private int processCount;

  /** Creates an instance without processes; the processes' output goes to files in this folder. */
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

  /** Starts a service and waits for its line `ready …`. */
  public Service startService(String... args) throws Exception {
    return startService(Map.of(), args);
  }

  /** Starts a service with these environment variables and waits for its line `ready …`. */
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
    throw new AssertionError(
        "service printed no ready line; its standard error: " + Files.readString(err.toPath()));
  }

  /** Runs a command and waits for its end. */
  public CommandResult run(Map<String, String> environment, String... args) throws Exception {
    return startCommand(environment, args).await();
  }

  /** Starts a command without waiting for its end. */
  public RunningCommand startCommand(Map<String, String> environment, String... args)
      throws IOException {
    File out = folder.resolve("out" + processCount).toFile();
    File err = folder.resolve("err" + processCount++).toFile();
    Process process =
        processBuilder(environment, args).redirectOutput(out).redirectError(err).start();
    processes.add(process);
    return new RunningCommand(process, out.toPath(), err.toPath());
  }

  /** A running command. */
  public record RunningCommand(Process process, Path out, Path err) {
    /** Waits for the command's end. */
    public CommandResult await() throws Exception {
      if (!process.waitFor(120, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        throw new AssertionError(
            "command did not end within 120 s; its standard error: " + Files.readString(err));
      }
      return new CommandResult(process.exitValue(), Files.readString(out), Files.readString(err));
    }
  }

  /** A running service. */
  public record Service(Process process, String readyLine, Path err) {
    /** Returns an address from the ready line, by its name there. */
    public String address(String name) {
      for (String word : readyLine.split(" ")) {
        if (word.startsWith(name + "=")) {
          return word.substring(name.length() + 1);
        }
      }
      throw new AssertionError(name + " is not an address in the ready line: " + readyLine);
    }

    /** Kills the service with SIGKILL. */
    public void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(20, TimeUnit.SECONDS);
    }

    /** Ends the service with SIGTERM and returns its exit code. */
    public int terminate() throws InterruptedException {
      process.destroy();
      if (!process.waitFor(30, TimeUnit.SECONDS)) {
        throw new AssertionError("service did not end within 30 s of SIGTERM");
      }
      return process.exitValue();
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}
