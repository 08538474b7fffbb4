package dapplestair.keys;

import dapplestair.admin.CredentialStore;
import dapplestair.admin.Role;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Keys and tokens of the operators' interface. */
@Command(
    name = "keys",
    mixinStandardHelpOptions = true,
    description = "Make keys and tokens for the operators' interface.",
    subcommands = {KeysCommand.Init.class, KeysCommand.Client.class, KeysCommand.Token.class})
public final class KeysCommand {
  /** What all of them share: a folder, and failures in one line. */
  abstract static class KeyGenerationCommand implements Callable<Integer> {
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Option(
        names = "--days",
        paramLabel = "N",
        defaultValue = "365",
        description = "how long certificates last (default: ${DEFAULT-VALUE})")
    private int days;

    abstract void make(Instant now) throws GeneralSecurityException, IOException;

    Duration lasts() {
      return Duration.ofDays(days);
    }

    @Override
    public Integer call() {
      try {
        make(Instant.now());
        spec.commandLine().getOut().flush();
        return 0;
      } catch (IOException | GeneralSecurityException e) {
        spec.commandLine().getErr().println("dapplestair: " + e.getMessage());
        return 2;
      }
    }

    void say(String line) {
      spec.commandLine().getOut().println(line);
    }

    /** Never over something that is there: keys in use would be lost. */
    static void write(Path file, String text, boolean secret) throws IOException {
      if (Files.exists(file)) {
        throw new IOException(file + " is there already");
      }
      if (secret && file.getFileSystem().supportedFileAttributeViews().contains("posix")) {
        Files.createFile(
            file,
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
      }
      Files.writeString(file, text, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    static void write(Path folder, String name, CertificateAuthority.Issued issued)
        throws IOException {
      write(folder.resolve(name + ".key"), issued.key(), true);
      write(folder.resolve(name + ".pem"), issued.certificate(), false);
    }
  }

  /** What is made for somebody with a role. */
  abstract static class RoleCommand extends KeyGenerationCommand {
    @Option(
        names = "--role",
        paramLabel = "ROLE",
        defaultValue = "view",
        description = "view or operate")
    private String role;

    String role() throws IOException {
      if (Role.fromLabel(role) == null) {
        throw new IOException("--role: " + role + ": must be view or operate");
      }
      return role;
    }
  }

  @Command(
      name = "init",
      mixinStandardHelpOptions = true,
      description = {
        "Make an authority, a certificate for the listener, and one token for each role.",
        "The tokens are printed once; the file holds only their hashes."
      },
      footer = {
        "",
        "Example:  dapplestair keys init keys --name 10.0.0.1 --name sched.example.org"
      })
  static final class Init extends KeyGenerationCommand {
    @Parameters(paramLabel = "FOLDER")
    private Path folder;

    @Option(
        names = "--name",
        paramLabel = "NAME",
        description =
            "name or address under which the listener is reached (default: this machine's loopback)")
    private List<String> names = List.of("localhost", "127.0.0.1");

    @Override
    void make(Instant now) throws GeneralSecurityException, IOException {
      Files.createDirectories(folder);
      CertificateAuthority ca =
          CertificateAuthority.create("dapplestair operators", now, lasts().multipliedBy(10));
      write(folder, "authority", ca.own());
      write(folder, "server", ca.server(names, now, lasts()));
      StringBuilder tokens = new StringBuilder();
      for (String role : List.of("view", "operate")) {
        tokens.append(Token.line(role.equals("view") ? "viewer" : "operator", role, this));
      }
      write(folder.resolve("tokens"), tokens.toString(), true);
      say("made in " + folder + ": authority, server, tokens");
    }
  }

  @Command(
      name = "client",
      mixinStandardHelpOptions = true,
      description = "Make a client certificate in a folder made by `keys init`.")
  static final class Client extends RoleCommand {
    @Parameters(index = "0", paramLabel = "FOLDER")
    private Path folder;

    @Parameters(index = "1", paramLabel = "NAME")
    private String name;

    @Override
    void make(Instant now) throws GeneralSecurityException, IOException {
      CertificateAuthority ca =
          CertificateAuthority.read(
              Files.readString(folder.resolve("authority.pem")),
              Files.readString(folder.resolve("authority.key")));
      write(folder, "client-" + name, ca.client(name, role(), now, lasts()));
      say("made " + folder.resolve("client-" + name + ".pem"));
    }
  }

  @Command(
      name = "token",
      mixinStandardHelpOptions = true,
      description = "Add a token to a file of tokens; it is printed once.")
  static final class Token extends RoleCommand {
    private static final int BYTES = 24;

    @Parameters(index = "0", paramLabel = "FILE")
    private Path file;

    @Parameters(index = "1", paramLabel = "NAME")
    private String name;

    @Override
    void make(Instant now) throws IOException {
      if (name.isBlank() || name.contains(" ") || name.startsWith("#")) {
        throw new IOException("a name has no blanks");
      }
      String line = line(name, role(), this);
      Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** Prints a new token, and gives the line that a file holds of it. */
    static String line(String name, String role, KeyGenerationCommand by) {
      byte[] secret = new byte[BYTES];
      new SecureRandom().nextBytes(secret);
      String token = HexFormat.of().formatHex(secret);
      by.say("token of " + name + " (" + role + "): " + token);
      return name + " " + role + " " + CredentialStore.hash(token) + "\n";
    }
  }
}
