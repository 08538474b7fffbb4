package dapplestair.state;

import java.util.Set;

/** How a transaction ended. */
public sealed interface Outcome {
  /** Applied; every key it wrote has this stamp. */
  record Applied(long stamp) implements Outcome {}

  /** Not applied, since these keys had other stamps. */
  record Conflict(Set<String> failed) implements Outcome {}

  /** Surely not applied: refused, shed or never sent. */
  record Refused() implements Outcome {}

  /** May have been applied, or may yet be. */
  record Unknown() implements Outcome {}

  /** Not applied: the hold it names has ended. */
  record NoHold() implements Outcome {}
}
