package dapplestair.accepted;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.Submission;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodes and decodes the message that lists accepted jobs with the revision of each record. It has
 * a bounded size and a format version.
 */
final class AcceptedJobsCodec {
  /** Incremented whenever the format changes. Messages of other versions are rejected. */
  static final byte FORMAT_VERSION = 1;

  /** Maximum number of jobs in one message. */
  static final int MAX_JOBS = 1000;

  private static final int MAX_BYTES = 256 * 1024;
  private static final int INITIAL_BUFFER_BYTES = 256;

  private AcceptedJobsCodec() {}

  /** Encodes the revision of each job's record. Returns null if the message would be too large. */
  static byte[] encode(Map<String, Long> revisions) {
    if (revisions.size() > MAX_JOBS) {
      return null;
    }
    Output out = new Output(INITIAL_BUFFER_BYTES, MAX_BYTES);
    try {
      out.writeByte(FORMAT_VERSION);
      out.writeVarInt(revisions.size(), true);
      revisions.forEach(
          (ref, revision) -> {
            out.writeString(ref);
            out.writeVarLong(revision, true);
          });
      return out.toBytes();
    } catch (KryoException e) {
      return null;
    }
  }

  /** Decodes a message. Returns null if it is malformed, too large or of another version. */
  static Map<String, Long> decode(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > MAX_BYTES || bytes[0] != FORMAT_VERSION) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      int count = in.readVarInt(true);
      if (count < 0 || count > MAX_JOBS) {
        return null;
      }
      Map<String, Long> revisions = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        String ref = in.readString();
        long revision = in.readVarLong(true);
        if (ref == null || !Submission.isValidRef(ref) || revision <= 0) {
          return null;
        }
        revisions.put(ref, revision);
      }
      return in.end() ? revisions : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }
}
