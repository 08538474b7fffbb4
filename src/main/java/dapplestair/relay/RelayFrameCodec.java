package dapplestair.relay;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.List;

/** Encodes relayed requests and replies between controllers in frames of bounded size. */
final class RelayFrameCodec {
  /** Incremented whenever the format changes; frames of other versions are refused. */
  static final byte FORMAT_VERSION = 1;

  /** Maximum number of requests, and of replies, in one frame. */
  static final int MAX_ITEMS = 256;

  /** Maximum size of a frame in bytes; a single report may have 64 KiB. */
  static final int MAX_FRAME_BYTES = 448 * 1024;

  private RelayFrameCodec() {}

  /** The kind of a relayed request. */
  enum RequestKind {
    /** A worker's report, sent to the leader. */
    REPORT,
    /** Commands to a worker, sent by the leader. */
    COMMAND,
    /** The leader's announcement whether reports are to be relayed; has no reply. */
    MODE
  }

  /**
   * A relayed request.
   *
   * @param id chosen by the sender, repeated in the reply
   * @param endpoint the worker's address, empty unless the request is a command
   * @param timeoutMs how long the sender waits for the reply
   */
  record Request(long id, RequestKind kind, String endpoint, long timeoutMs, byte[] body) {}

  /** The reply to a request, with the status codes of {@link HttpReply}. */
  record Reply(long id, int status, byte[] body) {}

  /**
   * The requests and replies that one controller sends to another at a time.
   *
   * @param sender id of the sending process, which differs after each restart
   * @param receiver id of the process that the replies are for, 0 if none is known yet
   */
  record Frame(long sender, long receiver, List<Request> requests, List<Reply> replies) {}

  /** Encodes a frame; returns null if it is too large. */
  static byte[] encode(Frame frame) {
    try {
      return write(frame);
    } catch (KryoException e) {
      return null;
    }
  }

  private static byte[] write(Frame frame) {
    Output out = new Output(4096, MAX_FRAME_BYTES);
    out.writeByte(FORMAT_VERSION);
    out.writeLong(frame.sender());
    out.writeLong(frame.receiver());
    out.writeVarInt(frame.requests().size(), true);
    for (Request request : frame.requests()) {
      out.writeLong(request.id());
      out.writeByte(request.kind().ordinal());
      out.writeString(request.endpoint());
      out.writeVarLong(request.timeoutMs(), true);
      writeBytes(out, request.body());
    }
    out.writeVarInt(frame.replies().size(), true);
    for (Reply reply : frame.replies()) {
      out.writeLong(reply.id());
      out.writeVarInt(reply.status(), false);
      writeBytes(out, reply.body());
    }
    return out.toBytes();
  }

  private static void writeBytes(Output out, byte[] body) {
    out.writeVarInt(body.length, true);
    out.writeBytes(body);
  }

  /** Decodes a frame; returns null if it is malformed, too large or of another version. */
  static Frame decode(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > MAX_FRAME_BYTES || bytes[0] != FORMAT_VERSION) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      long sender = in.readLong();
      long receiver = in.readLong();
      List<Request> requests = new ArrayList<>();
      for (int remaining = readCount(in); remaining > 0; remaining--) {
        requests.add(readRequest(in));
      }
      List<Reply> replies = new ArrayList<>();
      for (int remaining = readCount(in); remaining > 0; remaining--) {
        replies.add(new Reply(in.readLong(), in.readVarInt(false), readBytes(in)));
      }
      return in.end() ? new Frame(sender, receiver, requests, replies) : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  private static Request readRequest(Input in) {
    long id = in.readLong();
    RequestKind kind = RequestKind.values()[in.readByte()];
    String endpoint = in.readString();
    long timeoutMs = in.readVarLong(true);
    if (endpoint == null || timeoutMs < 0) {
      throw new IllegalArgumentException("relayed request has no endpoint or a negative timeout");
    }
    return new Request(id, kind, endpoint, timeoutMs, readBytes(in));
  }

  private static int readCount(Input in) {
    int count = in.readVarInt(true);
    if (count < 0 || count > MAX_ITEMS) {
      throw new IllegalArgumentException("invalid number of items in relay frame: " + count);
    }
    return count;
  }

  private static byte[] readBytes(Input in) {
    int length = in.readVarInt(true);
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IllegalArgumentException("invalid body length in relay frame: " + length);
    }
    return in.readBytes(length);
  }
}
