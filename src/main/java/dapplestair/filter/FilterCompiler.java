package dapplestair.filter;

import dapplestair.filter.grammar.FilterBaseVisitor;
import dapplestair.filter.grammar.FilterParser;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** Compiles a parsed filter into a condition, checking fields and types against a schema. */
final class FilterCompiler extends FilterBaseVisitor<Filter> {
  private final Schema schema;

  FilterCompiler(Schema schema) {
    this.schema = schema;
  }

  @Override
  public Filter visitFilter(FilterParser.FilterContext ctx) {
    return visit(ctx.either());
  }

  @Override
  public Filter visitEither(FilterParser.EitherContext ctx) {
    List<Filter> parts = ctx.both().stream().map(this::visit).toList();
    return parts.size() == 1 ? parts.get(0) : row -> parts.stream().anyMatch(p -> p.test(row));
  }

  @Override
  public Filter visitBoth(FilterParser.BothContext ctx) {
    List<Filter> parts = ctx.negation().stream().map(this::visit).toList();
    return parts.size() == 1 ? parts.get(0) : row -> parts.stream().allMatch(p -> p.test(row));
  }

  @Override
  public Filter visitNegation(FilterParser.NegationContext ctx) {
    Filter operand = visit(ctx.test());
    return ctx.NOT().size() % 2 == 0 ? operand : row -> !operand.test(row);
  }

  @Override
  public Filter visitGrouped(FilterParser.GroupedContext ctx) {
    return visit(ctx.either());
  }

  @Override
  public Filter visitFlag(FilterParser.FlagContext ctx) {
    Token name = ctx.NAME().getSymbol();
    if (fieldType(name) != Schema.Type.FLAG) {
      throw errorAt(name, name.getText() + " is not a flag: compare it with something");
    }
    String field = name.getText();
    return row -> Boolean.TRUE.equals(row.value(field));
  }

  @Override
  public Filter visitCompared(FilterParser.ComparedContext ctx) {
    Token name = ctx.NAME().getSymbol();
    Object value = parseValue(fieldType(name), ctx.value());
    return compare(name.getText(), ctx.comparison(), value);
  }

  @Override
  public Filter visitListed(FilterParser.ListedContext ctx) {
    Token name = ctx.NAME().getSymbol();
    Schema.Type type = fieldType(name);
    List<Object> values = new ArrayList<>();
    ctx.value().forEach(v -> values.add(parseValue(type, v)));
    String field = name.getText();
    boolean isIncluded = ctx.NOT() == null;
    return row -> {
      Object actual = row.value(field);
      return values.stream().anyMatch(v -> v.equals(actual)) == isIncluded;
    };
  }

  private Schema.Type fieldType(Token name) {
    Schema.Type type = schema.type(name.getText());
    if (type == null) {
      throw errorAt(name, "no field " + name.getText() + "; there are " + schema.names());
    }
    return type;
  }

  private static Object parseValue(Schema.Type type, FilterParser.ValueContext valueContext) {
    Token token = valueContext.getStart();
    String text = token.getText();
    return switch (type) {
      case TEXT -> {
        if (valueContext.TEXT() == null) {
          yield text;
        }
        yield text.substring(1, text.length() - 1).replaceAll("\\\\(.)", "$1");
      }
      case NUMBER -> {
        if (valueContext.NUMBER() != null) {
          yield Double.parseDouble(text);
        }
        if (valueContext.DURATION() != null) {
          yield parseSeconds(text);
        }
        throw errorAt(token, "a number is wanted here, such as 3 or 30s");
      }
      case FLAG -> {
        if (text.equals("true") || text.equals("false")) {
          yield Boolean.valueOf(text);
        }
        throw errorAt(token, "true or false is wanted here");
      }
    };
  }

  private static double parseSeconds(String text) {
    int unitStart = text.endsWith("ms") ? text.length() - 2 : text.length() - 1;
    double amount = Double.parseDouble(text.substring(0, unitStart));
    return switch (text.substring(unitStart)) {
      case "ms" -> amount / 1000;
      case "m" -> amount * 60;
      case "h" -> amount * 3600;
      case "d" -> amount * 86_400;
      default -> amount;
    };
  }

  private Filter compare(String field, FilterParser.ComparisonContext operator, Object value) {
    String symbol = operator.getText();
    Schema.Type type = schema.type(field);
    switch (symbol) {
      case "=":
        return row -> value.equals(row.value(field));
      case "!=":
        return row -> !value.equals(row.value(field));
      case "~":
        if (type != Schema.Type.TEXT) {
          throw errorAt(operator.getStart(), "~ looks for a part of a text; " + field + " is none");
        }
        return row -> row.value(field) instanceof String s && s.contains((String) value);
      default:
        if (type != Schema.Type.NUMBER) {
          throw errorAt(operator.getStart(), symbol + " compares numbers; " + field + " is none");
        }
        return compareNumbers(field, symbol, (Double) value);
    }
  }

  private static Filter compareNumbers(String field, String symbol, double value) {
    return row -> {
      if (!(row.value(field) instanceof Double actual)) {
        return false;
      }
      return switch (symbol) {
        case "<" -> actual < value;
        case "<=" -> actual <= value;
        case ">" -> actual > value;
        default -> actual >= value;
      };
    };
  }

  private static ParseCancellationException errorAt(Token token, String message) {
    return new ParseCancellationException(new FilterException(token.getStartIndex(), message));
  }
}
