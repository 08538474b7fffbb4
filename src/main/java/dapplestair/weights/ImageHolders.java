package dapplestair.weights;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.BaseEncoding;
import dapplestair.json.Json;
import dapplestair.work.FrontCodedNames;
import java.util.SortedSet;
import java.util.TreeSet;

/** A record of the machines that hold an image, which takes two to five bytes per machine. */
record ImageHolders(String image, double sizeGb, SortedSet<String> machineIds) {
  // Share of a value that the encoded names may fill; base64 and the other fields need the rest.
  private static final double MAX_ENCODED_SHARE = 0.6;

  /** Encodes as many machines as fit into a value, in the order of their names. */
  ObjectNode toJson(int valueBytes) {
    int maxBytes = (int) (valueBytes * MAX_ENCODED_SHARE) - image.length();
    Output out = new Output(256, 2 * valueBytes);
    FrontCodedNames names = new FrontCodedNames();
    for (String machineId : machineIds) {
      if (out.position() + machineId.length() + 4 > maxBytes) {
        break;
      }
      names.write(out, machineId);
    }
    return Json.object()
        .put("image", image)
        .put("gb", sizeGb)
        .put("on", BaseEncoding.base64().encode(out.toBytes()));
  }

  /** Parses a record. A garbled record yields no machines, since it contains only hints. */
  static ImageHolders parse(JsonNode node) {
    SortedSet<String> machines = new TreeSet<>();
    try {
      Input bytes = new Input(BaseEncoding.base64().decode(node.path("on").asText()));
      FrontCodedNames names = new FrontCodedNames();
      while (bytes.position() < bytes.limit()) {
        machines.add(names.read(bytes));
      }
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      machines.clear();
    }
    return new ImageHolders(node.path("image").asText(), node.path("gb").asDouble(), machines);
  }
}
