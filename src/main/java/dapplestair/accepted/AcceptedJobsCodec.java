package dapplestair.accepted;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.Submission;
import java.util.LinkedHashMap;
import java.util.Map;

/** The message that names accepted jobs and the revision of each record: bounded, of one form. */
final class AcceptedJobsCodec {
  /** Raised whenever the form changes; messages of other forms are refused. */
  static final byte FORMAT_VERSION = 1;

  /** Most jobs of one message. */
  static final int MAX_JOBS = 1000;

  private static final int MAX_BYTES = 256 * 1024;
  private static final int INITIAL_BUFFER_BYTES = 256;

  private AcceptedJobsCodec() {}

  /** Writes the revision of each job's record, or gives null when it is too much. */
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

  /** Reads a message, or gives null when it is garbled, too large or of another form. */
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
        if (ref == null || !Submission.validRef(ref) || revision <= 0) {
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
