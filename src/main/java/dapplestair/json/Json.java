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

/**
 * Reads and writes JSON with a shared mapper. Only the tree model is used, as data binding by
 * reflection would cost start-up time.
 */
public final class Json {
  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private Json() {}

  /** Parses JSON; returns a missing node if the bytes are not valid JSON. */
  public static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node == null ? MissingNode.getInstance() : node;
    } catch (IOException | StackOverflowError e) {
      return MissingNode.getInstance();
    }
  }

  /** Returns a new, empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new, empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Returns a node as JSON bytes. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes one value to a generator; used for long responses, for which no tree is built. */
  @FunctionalInterface
  public interface JsonWriter {
    /** Writes the value. */
    void writeTo(JsonGenerator out) throws IOException;
  }

  /** Returns what {@code writer} writes, as JSON bytes. */
  public static byte[] writeBytes(JsonWriter writer) {
    ByteArrayBuilder bytes = new ByteArrayBuilder();
    try (JsonGenerator out = MAPPER.createGenerator(bytes)) {
      writer.writeTo(out);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  /** Returns a text field, or null if it is absent, null or not text. */
  public static String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isTextual() ? value.textValue() : null;
  }

  /** Returns an integer field, or {@code defaultValue} if it is absent or not an integer. */
  public static long number(JsonNode node, String field, long defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.canConvertToLong() && value.isIntegralNumber()
        ? value.longValue()
        : defaultValue;
  }

  /**
   * Returns a number field, or {@code defaultValue} if it is absent, not a number or not finite.
   */
  public static double decimal(JsonNode node, String field, double defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() && Double.isFinite(value.doubleValue())
        ? value.doubleValue()
        : defaultValue;
  }

  /** Returns a boolean field, or false if it is absent or not a boolean. */
  public static boolean flag(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isBoolean() && value.booleanValue();
  }
}
