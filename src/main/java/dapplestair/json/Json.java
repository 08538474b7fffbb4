package dapplestair.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** The one JSON mapper, tree model only: reflection would cost start-up time. */
public final class Json {
  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private Json() {}

  /** Parses, or gives a missing node when the bytes are not JSON. */
  public static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node == null ? MissingNode.getInstance() : node;
    } catch (IOException | StackOverflowError e) {
      return MissingNode.getInstance();
    }
  }

  /** An empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** An empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Bytes to send. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes one value to a generator; for long answers, of which no tree is built. */
  @FunctionalInterface
  public interface JsonWriter {
    /** Writes. */
    void to(JsonGenerator out) throws IOException;
  }

  /** Bytes of what is written. */
  public static byte[] written(JsonWriter value) {
    ByteArrayBuilder bytes = new ByteArrayBuilder();
    try (JsonGenerator out = MAPPER.createGenerator(bytes)) {
      value.to(out);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  /** A text field, or null when absent, null or not text. */
  public static String text(JsonNode node, String field) {
    JsonNode v = node.get(field);
    return v != null && v.isTextual() ? v.textValue() : null;
  }

  /** A whole number field, or {@code otherwise}. */
  public static long number(JsonNode node, String field, long otherwise) {
    JsonNode v = node.get(field);
    return v != null && v.canConvertToLong() && v.isIntegralNumber() ? v.longValue() : otherwise;
  }

  /** A decimal field, or {@code otherwise} when absent or not finite. */
  public static double decimal(JsonNode node, String field, double otherwise) {
    JsonNode v = node.get(field);
    return v != null && v.isNumber() && Double.isFinite(v.doubleValue())
        ? v.doubleValue()
        : otherwise;
  }

  /** A flag, false when absent. */
  public static boolean flag(JsonNode node, String field) {
    JsonNode v = node.get(field);
    return v != null && v.isBoolean() && v.booleanValue();
  }
}
