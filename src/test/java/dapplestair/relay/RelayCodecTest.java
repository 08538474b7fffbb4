package dapplestair.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import dapplestair.relay.RelayCodec.Frame;
import dapplestair.relay.RelayCodec.Kind;
import dapplestair.relay.RelayCodec.Reply;
import dapplestair.relay.RelayCodec.Request;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Frames between controllers: what is garbled, too large or of another form is refused. */
class RelayCodecTest {
  private static final byte[] BODY = {1, 2, 3};

  private static Frame frame() {
    return new Frame(
        7,
        -8,
        List.of(
            new Request(1, Kind.REPORT, "", 2500, BODY),
            new Request(2, Kind.COMMAND, "10.1.0.1:9000", 300, new byte[0])),
        List.of(new Reply(3, 200, BODY), new Reply(4, -1, new byte[0])));
  }

  @Test
  void whatIsWrittenIsRead() {
    Frame read = RelayCodec.decode(RelayCodec.encode(frame()));
    assertNotNull(read);
    assertEquals(7, read.sender());
    assertEquals(-8, read.receiver());
    assertEquals(Kind.REPORT, read.requests().get(0).kind());
    assertArrayEquals(BODY, read.requests().get(0).body());
    assertEquals("10.1.0.1:9000", read.requests().get(1).endpoint());
    assertEquals(300, read.requests().get(1).timeoutMs());
    assertEquals(-1, read.replies().get(1).status());
  }

  @Test
  void anythingElseIsRefused() {
    byte[] good = RelayCodec.encode(frame());
    assertNull(RelayCodec.decode(new byte[0]));
    for (int length = 1; length < good.length; length++) {
      assertNull(RelayCodec.decode(Arrays.copyOf(good, length)), "cut to " + length);
    }
    byte[] longer = Arrays.copyOf(good, good.length + 1);
    assertNull(RelayCodec.decode(longer));
    byte[] otherForm = good.clone();
    otherForm[0]++;
    assertNull(RelayCodec.decode(otherForm));
    assertNull(RelayCodec.decode(new byte[RelayCodec.LARGEST + 1]));
    Reply reply = new Reply(1, 200, BODY);
    List<Reply> tooMany = Collections.nCopies(RelayCodec.MOST_ITEMS + 1, reply);
    assertNull(RelayCodec.decode(RelayCodec.encode(new Frame(1, 1, List.of(), tooMany))));
    byte[] large = new byte[RelayCodec.LARGEST];
    assertNull(RelayCodec.encode(new Frame(1, 1, List.of(), List.of(new Reply(1, 200, large)))));
  }

  /** Random bytes end no process, whatever they happen to say. */
  @Test
  void randomBytesThrowNothing() {
    SplittableRandom random = new SplittableRandom(11);
    byte[] good = RelayCodec.encode(frame());
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = good.clone();
      for (int k = 0; k < 3; k++) {
        bytes[random.nextInt(1, bytes.length)] = (byte) random.nextInt(256);
      }
      RelayCodec.decode(bytes);
    }
  }
}
