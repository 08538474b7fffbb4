package dapplestair.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/**
 * Encodes messages between controllers with Kryo, which accepts registered classes only. The first
 * byte of every frame is the version.
 */
public final class PeerCodec {
  /** Incremented whenever a message changes; frames of other versions are not decoded. */
  public static final int VERSION = 3;

  /** Maximum size of a frame in bytes; larger frames are refused. */
  public static final int MAX_FRAME_BYTES = 512 * 1024;

  private final Kryo kryo = new Kryo();
  private final Output output = new Output(1024, MAX_FRAME_BYTES);

  /** Creates a codec, which must be used by one thread only. */
  public PeerCodec() {
    kryo.setRegistrationRequired(true);
    kryo.setReferences(false);
    kryo.register(PeerHello.class);
    kryo.register(PeerStatus.class);
    kryo.register(byte[].class);
    kryo.register(PeerAsk.class);
    kryo.register(PeerAnswer.class);
  }

  /** Encodes a message. */
  public byte[] encode(Object message) {
    output.reset();
    output.writeByte(VERSION);
    kryo.writeClassAndObject(output, message);
    return output.toBytes();
  }

  /** Decodes a message; returns null if it is malformed or of another version. */
  public Object decode(byte[] frame) {
    if (frame.length < 2 || frame[0] != VERSION) {
      return null;
    }
    try {
      return kryo.readClassAndObject(new Input(frame, 1, frame.length - 1));
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }
}
