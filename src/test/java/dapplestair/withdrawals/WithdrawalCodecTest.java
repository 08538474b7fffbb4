package dapplestair.withdrawals;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WithdrawalCodecTest {
  private static WithdrawalCodec.Answer answer(int entries, int places) {
    List<WithdrawalCodec.Entry> out = new ArrayList<>();
    for (int i = 1; i <= entries; i++) {
      List<Withdrawal.Place> at = new ArrayList<>();
      for (int k = 0; k < places; k++) {
        at.add(new Withdrawal.Place(String.format("n-%06d", k), 1 + k % 3, k, 7));
      }
      out.add(new WithdrawalCodec.Entry(i, "wk-" + i, 40L * i, at));
    }
    return new WithdrawalCodec.Answer(-5, 3, Long.MIN_VALUE + 1, 12, true, out);
  }

  @Test
  void messagesComeBackAsTheyWere() {
    WithdrawalCodec.Ask ask = new WithdrawalCodec.Ask(-77, 4, 99, 1000);
    assertEquals(ask, WithdrawalCodec.ask(WithdrawalCodec.encode(ask)));
    WithdrawalCodec.Answer answer = answer(5, 40);
    assertEquals(answer, WithdrawalCodec.answer(WithdrawalCodec.encode(answer)));
  }

  /** Whatever comes, nothing is thrown; forms, terms and sizes that are not ours are refused. */
  @Test
  void whatIsNotOursIsRefused() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] good = WithdrawalCodec.encode(answer(4, 10));
    byte[] ask = WithdrawalCodec.encode(new WithdrawalCodec.Ask(1, 2, 3, 4));
    for (int i = 0; i < 5000; i++) {
      byte[] bad = good.clone();
      for (int k = 0; k < 4; k++) {
        bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
      }
      WithdrawalCodec.answer(Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
      WithdrawalCodec.ask(Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
    }
    assertNull(WithdrawalCodec.answer(Arrays.copyOf(good, good.length - 1)), "cut short");
    assertNull(WithdrawalCodec.answer(Arrays.copyOf(good, good.length + 1)), "something after it");
    assertNull(WithdrawalCodec.ask(new byte[0]));
    good[0] = WithdrawalCodec.FORM + 1;
    ask[0] = WithdrawalCodec.FORM + 1;
    assertNull(WithdrawalCodec.answer(good), "another form");
    assertNull(WithdrawalCodec.ask(ask), "another form");
    WithdrawalCodec.Answer term = new WithdrawalCodec.Answer(1, 1, 1, 1L << 50, true, List.of());
    assertNull(WithdrawalCodec.answer(WithdrawalCodec.encode(term)), "no term of any leader");
    WithdrawalCodec.Answer large = answer(2, WithdrawalCodec.MOST_PLACES / 2 + 1);
    assertNull(WithdrawalCodec.answer(WithdrawalCodec.encode(large)), "too many places");
  }
}
