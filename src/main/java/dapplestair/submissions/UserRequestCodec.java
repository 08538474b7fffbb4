package dapplestair.submissions;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.Set;

/**
 * Encodes and decodes users' requests and their responses between controllers. Messages have a
 * bounded size and a format version.
 */
final class UserRequestCodec {
  /** Incremented whenever the format changes. Messages of other versions are not decoded. */
  static final byte FORMAT_VERSION = 1;

  private static final int MAX_PATH_LENGTH = 512;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_BYTES = MAX_BODY_BYTES + 4 * MAX_PATH_LENGTH;
  private static final int MAX_RETRY_AFTER_S = 30;
  private static final Set<String> METHODS = Set.of("GET", "POST");

  private UserRequestCodec() {}

  /** A user's request as received. */
  record Request(String method, String path, byte[] body) {}

  /** The response to send to the user. */
  record Response(int status, int retryAfterS, byte[] body) {}

  /** Encodes a request. Returns null if it is too large. */
  static byte[] encode(Request request) {
    if (request.path().length() > MAX_PATH_LENGTH || request.body().length > MAX_BODY_BYTES) {
      return null;
    }
    Output out = new Output(256, MAX_BYTES);
    out.writeByte(FORMAT_VERSION);
    out.writeString(request.method());
    out.writeString(request.path());
    writeBody(out, request.body());
    return out.toBytes();
  }

  /** Encodes a response. Returns null if it is too large. */
  static byte[] encode(Response response) {
    if (response.body().length > MAX_BODY_BYTES) {
      return null;
    }
    Output out = new Output(256, MAX_BYTES);
    out.writeByte(FORMAT_VERSION);
    out.writeVarInt(response.status(), true);
    out.writeVarInt(response.retryAfterS(), true);
    writeBody(out, response.body());
    return out.toBytes();
  }

  private static void writeBody(Output out, byte[] body) {
    out.writeVarInt(body.length, true);
    out.writeBytes(body);
  }

  /** Decodes a request. Returns null if it is malformed, too large or of another version. */
  static Request decodeRequest(byte[] bytes) {
    if (!isValidMessage(bytes)) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      Request request = new Request(in.readString(), in.readString(), readBody(in));
      boolean valid =
          in.end()
              && request.method() != null
              && METHODS.contains(request.method())
              && request.path() != null
              && request.path().length() <= MAX_PATH_LENGTH;
      return valid ? request : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  /** Decodes a response. Returns null if it is malformed, too large or of another version. */
  static Response decodeResponse(byte[] bytes) {
    if (!isValidMessage(bytes)) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      Response response = new Response(in.readVarInt(true), in.readVarInt(true), readBody(in));
      boolean valid =
          in.end()
              && response.status() >= 200
              && response.status() < 600
              && response.retryAfterS() >= 0
              && response.retryAfterS() <= MAX_RETRY_AFTER_S;
      return valid ? response : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  private static boolean isValidMessage(byte[] bytes) {
    return bytes.length > 0 && bytes.length <= MAX_BYTES && bytes[0] == FORMAT_VERSION;
  }

  private static byte[] readBody(Input in) {
    int length = in.readVarInt(true);
    if (length < 0 || length > MAX_BODY_BYTES) {
      throw new IllegalArgumentException(
          "invalid body length in a relayed user request or response");
    }
    return in.readBytes(length);
  }
}
