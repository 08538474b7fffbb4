package dapplestair.admin;

import com.google.common.hash.Hashing;
import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Exchange;
import dapplestair.ports.Timers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Authenticates callers by bearer tokens, of which a file holds only hashes, or by client
 * certificates, whose organisational unit is the role. The file is read again when it changes.
 *
 * <p>Each line of the file consists of a name, {@code view} or {@code operate}, and the SHA-256
 * hash of the token in hexadecimal.
 */
public final class CredentialStore implements Authenticator {
  private static final Logger LOG = LoggerFactory.getLogger(CredentialStore.class);
  private static final String BEARER = "Bearer ";
  private static final long CHECK_INTERVAL_MS = 1000;
  private static final long MAX_FILE_BYTES = 1 << 20;

  private record TokenEntry(String name, Role role, byte[] hash) {}

  private record TokenFile(FileTime modifiedAt, List<TokenEntry> entries) {}

  private final Path file;
  private TokenFile tokenFile = new TokenFile(null, List.of());

  private CredentialStore(Path file) {
    this.file = file;
  }

  /** Returns a store without tokens, which accepts client certificates only. */
  public static CredentialStore certificatesOnly() {
    return new CredentialStore(null);
  }

  /** Returns a store that reads a token file at once, and again whenever the file has changed. */
  public static CredentialStore watch(Path file, Timers timers, BackgroundExecutor background)
      throws IOException {
    CredentialStore credentials = new CredentialStore(file);
    credentials.tokenFile = credentials.load();
    credentials.scheduleCheck(timers, background);
    return credentials;
  }

  private void scheduleCheck(Timers timers, BackgroundExecutor background) {
    timers.after(
        CHECK_INTERVAL_MS,
        () -> {
          FileTime knownModifiedAt = tokenFile.modifiedAt();
          background.compute(
              () -> loadIfChanged(knownModifiedAt),
              newTokenFile -> replaceTokenFile(newTokenFile, timers, background));
        });
  }

  private void replaceTokenFile(
      TokenFile newTokenFile, Timers timers, BackgroundExecutor background) {
    if (newTokenFile != null) {
      tokenFile = newTokenFile;
      LOG.info(
          "reloaded token file {}; it has {} valid entries", file, newTokenFile.entries().size());
    }
    scheduleCheck(timers, background);
  }

  /**
   * Returns the content of the file if it has changed, else null. Returns null for an unreadable
   * file, too, so that the tokens read before stay valid.
   */
  private TokenFile loadIfChanged(FileTime knownModifiedAt) {
    try {
      return Files.getLastModifiedTime(file).equals(knownModifiedAt) ? null : load();
    } catch (IOException e) {
      return null;
    }
  }

  private TokenFile load() throws IOException {
    FileTime modifiedAt = Files.getLastModifiedTime(file);
    if (Files.size(file) > MAX_FILE_BYTES) {
      throw new IOException("over " + MAX_FILE_BYTES + " bytes");
    }
    List<TokenEntry> entries = new ArrayList<>();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      String entryText = line.strip();
      if (!entryText.isEmpty() && !entryText.startsWith("#")) {
        TokenEntry entry = parseEntry(entryText);
        if (entry == null) {
          LOG.error(
              "token file {}, line {} ignored: must be a name, view or operate, and a SHA-256 hash in hex",
              file,
              lineNumber);
        } else {
          entries.add(entry);
        }
      }
    }
    return new TokenFile(modifiedAt, List.copyOf(entries));
  }

  private static TokenEntry parseEntry(String line) {
    String[] parts = line.split("\\s+");
    Role role = parts.length == 3 ? Role.fromLabel(parts[1]) : null;
    if (role == null || parts[2].length() != 64) {
      return null;
    }
    try {
      return new TokenEntry(parts[0], role, HexFormat.of().parseHex(parts[2]));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Returns the SHA-256 hash of a token in hexadecimal, as the token file has it. */
  public static String hash(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
  }

  @Override
  public Identity identify(Exchange exchange) {
    String header = exchange.header("authorization");
    if (header != null && header.startsWith(BEARER)) {
      return identifyByToken(header.substring(BEARER.length()).strip());
    }
    return identifyBySubject(exchange.subject());
  }

  /**
   * Finds the identity of a token. Compares all entries, each in constant time, so that the
   * response time does not reveal how close a guess was.
   */
  private Identity identifyByToken(String token) {
    byte[] hash = HexFormat.of().parseHex(hash(token));
    Identity found = null;
    for (TokenEntry entry : tokenFile.entries()) {
      if (MessageDigest.isEqual(entry.hash(), hash)) {
        found = new Identity(entry.name(), entry.role() == Role.OPERATE);
      }
    }
    return found;
  }

  private static Identity identifyBySubject(String subject) {
    if (subject == null) {
      return null;
    }
    String name = null;
    Role role = null;
    try {
      for (Rdn rdn : new LdapName(subject).getRdns()) {
        if (rdn.getType().equalsIgnoreCase("CN")) {
          name = rdn.getValue().toString();
        } else if (rdn.getType().equalsIgnoreCase("OU")) {
          role = Role.fromLabel(rdn.getValue().toString());
        }
      }
    } catch (InvalidNameException e) {
      return null;
    }
    return name == null || role == null ? null : new Identity(name, role == Role.OPERATE);
  }
}
