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
    void writeTo(JsonGenerator out) throws IOException;
  }

  /** Bytes of what is written. */
  public static byte[] writeBytes(JsonWriter writer) {
    ByteArrayBuilder bytes = new ByteArrayBuilder();
    try (JsonGenerator out = MAPPER.createGenerator(bytes)) {
      writer.writeTo(out);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  /** A text field, or null when absent, null or not text. */
  public static String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isTextual() ? value.textValue() : null;
  }

  /** A whole number field, or {@code defaultValue}. */
  public static long number(JsonNode node, String field, long defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.canConvertToLong() && value.isIntegralNumber()
        ? value.longValue()
        : defaultValue;
  }

  /** A decimal field, or {@code defaultValue} when absent or not finite. */
  public static double decimal(JsonNode node, String field, double defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() && Double.isFinite(value.doubleValue())
        ? value.doubleValue()
        : defaultValue;
  }

  /** A flag, false when absent. */
  public static boolean flag(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isBoolean() && value.booleanValue();
  }
}
