package dapplestair.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import java.io.IOException;

/**
 * Stamps answers with the term and epoch as of which they hold, so that a reader sees their age.
 */
final class AsOfStamp {
  private final Settings settings;
  private final Leadership leadership;
  private final Replica replica;

  AsOfStamp(Settings settings, Leadership leadership, Replica replica) {
    this.settings = settings;
    this.leadership = leadership;
    this.replica = replica;
  }

  private long term() {
    return leadership.isLeading() ? leadership.term() : leadership.highestTermSeen();
  }

  void writeTo(JsonGenerator generator) throws IOException {
    generator.writeObjectFieldStart("asOf");
    generator.writeNumberField("term", term());
    generator.writeNumberField("epoch", replica.appliedEpoch());
    generator.writeStringField("leader", leadership.currentLeader());
    generator.writeStringField("by", settings.member());
    generator.writeEndObject();
  }

  /** Returns a new object that contains the stamp. */
  ObjectNode newObject() {
    ObjectNode object = Json.object();
    object
        .putObject("asOf")
        .put("term", term())
        .put("epoch", replica.appliedEpoch())
        .put("leader", leadership.currentLeader())
        .put("by", settings.member());
    return object;
  }
}
