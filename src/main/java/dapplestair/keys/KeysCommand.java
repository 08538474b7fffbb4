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

/** Groups the commands that generate keys and tokens for the operators' interface. */
@Command(
    name = "keys",
    mixinStandardHelpOptions = true,
    description = "Make keys and tokens for the operators' interface.",
    subcommands = {KeysCommand.Init.class, KeysCommand.Client.class, KeysCommand.Token.class})
public final class KeysCommand {
  /** Base of these commands: holds the validity of certificates, reports failures in one line. */
  abstract static class KeyGenerationCommand implements Callable<Integer> {
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Option(
        names = "--days",
        paramLabel = "N",
        defaultValue = "365",
        description = "how long certificates last (default: ${DEFAULT-VALUE})")
    private int days;

    abstract void generate(Instant now) throws GeneralSecurityException, IOException;

    Duration validity() {
      return Duration.ofDays(days);
    }

    @Override
    public Integer call() {
      try {
        generate(Instant.now());
        spec.commandLine().getOut().flush();
        return 0;
      } catch (IOException | GeneralSecurityException e) {
        spec.commandLine().getErr().println("dapplestair: " + e.getMessage());
        return 2;
      }
    }

    void printLine(String line) {
      spec.commandLine().getOut().println(line);
    }

    /** Writes a new file. Never overwrites an existing one, since keys in use would be lost. */
    static void write(Path file, String text, boolean isSecret) throws IOException {
      if (Files.exists(file)) {
        throw new IOException(file + " is there already");
      }
      if (isSecret && file.getFileSystem().supportedFileAttributeViews().contains("posix")) {
        Files.createFile(
            file,
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
      }
      Files.writeString(file, text, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    static void writeKeyAndCertificate(
        Path folder, String name, CertificateAuthority.IssuedCertificate issued)
        throws IOException {
      write(folder.resolve(name + ".key"), issued.keyPem(), true);
      write(folder.resolve(name + ".pem"), issued.certificatePem(), false);
    }
  }

  /** A command that issues credentials to somebody with a role. */
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
    void generate(Instant now) throws GeneralSecurityException, IOException {
      Files.createDirectories(folder);
      CertificateAuthority ca =
          CertificateAuthority.create("dapplestair operators", now, validity().multipliedBy(10));
      writeKeyAndCertificate(folder, "authority", ca.ownCertificate());
      writeKeyAndCertificate(folder, "server", ca.issueServerCertificate(names, now, validity()));
      StringBuilder tokens = new StringBuilder();
      for (String role : List.of("view", "operate")) {
        tokens.append(
            Token.createTokenLine(role.equals("view") ? "viewer" : "operator", role, this));
      }
      write(folder.resolve("tokens"), tokens.toString(), true);
      printLine("made in " + folder + ": authority, server, tokens");
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
    void generate(Instant now) throws GeneralSecurityException, IOException {
      CertificateAuthority ca =
          CertificateAuthority.read(
              Files.readString(folder.resolve("authority.pem")),
              Files.readString(folder.resolve("authority.key")));
      writeKeyAndCertificate(
          folder, "client-" + name, ca.issueClientCertificate(name, role(), now, validity()));
      printLine("made " + folder.resolve("client-" + name + ".pem"));
    }
  }

  @Command(
      name = "token",
      mixinStandardHelpOptions = true,
      description = "Add a token to a file of tokens; it is printed once.")
  static final class Token extends RoleCommand {
    private static final int TOKEN_BYTES = 24;

    @Parameters(index = "0", paramLabel = "FILE")
    private Path file;

    @Parameters(index = "1", paramLabel = "NAME")
    private String name;

    @Override
    void generate(Instant now) throws IOException {
      if (name.isBlank() || name.contains(" ") || name.startsWith("#")) {
        throw new IOException("a name has no blanks");
      }
      String tokenLine = createTokenLine(name, role(), this);
      Files.writeString(file, tokenLine, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** Prints a new token and returns the line for the token file, which holds only its hash. */
    static String createTokenLine(String name, String role, KeyGenerationCommand command) {
      byte[] tokenBytes = new byte[TOKEN_BYTES];
      new SecureRandom().nextBytes(tokenBytes);
      String token = HexFormat.of().formatHex(tokenBytes);
      command.printLine("token of " + name + " (" + role + "): " + token);
      return name + " " + role + " " + CredentialStore.hash(token) + "\n";
    }
  }
}
