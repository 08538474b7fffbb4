package dapplestair.filter;

import dapplestair.filter.grammar.FilterBaseVisitor;
import dapplestair.filter.grammar.FilterParser;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** Turns a parsed filter into a condition, checking fields and types. */
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
    Filter of = visit(ctx.test());
    return ctx.NOT().size() % 2 == 0 ? of : row -> !of.test(row);
  }

  @Override
  public Filter visitGrouped(FilterParser.GroupedContext ctx) {
    return visit(ctx.either());
  }

  @Override
  public Filter visitFlag(FilterParser.FlagContext ctx) {
    Token name = ctx.NAME().getSymbol();
    if (type(name) != Schema.Type.FLAG) {
      throw mistake(name, name.getText() + " is not a flag: compare it with something");
    }
    String field = name.getText();
    return row -> Boolean.TRUE.equals(row.value(field));
  }

  @Override
  public Filter visitCompared(FilterParser.ComparedContext ctx) {
    Token name = ctx.NAME().getSymbol();
    Object value = value(type(name), ctx.value());
    return compare(name.getText(), ctx.comparison(), value);
  }

  @Override
  public Filter visitListed(FilterParser.ListedContext ctx) {
    Token name = ctx.NAME().getSymbol();
    Schema.Type type = type(name);
    List<Object> values = new ArrayList<>();
    ctx.value().forEach(v -> values.add(value(type, v)));
    String field = name.getText();
    boolean wanted = ctx.NOT() == null;
    return row -> {
      Object is = row.value(field);
      return values.stream().anyMatch(v -> v.equals(is)) == wanted;
    };
  }

  private Schema.Type type(Token name) {
    Schema.Type type = schema.type(name.getText());
    if (type == null) {
      throw mistake(name, "no field " + name.getText() + "; there are " + schema.names());
    }
    return type;
  }

  private static Object value(Schema.Type type, FilterParser.ValueContext valueContext) {
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
          yield seconds(text);
        }
        throw mistake(token, "a number is wanted here, such as 3 or 30s");
      }
      case FLAG -> {
        if (text.equals("true") || text.equals("false")) {
          yield Boolean.valueOf(text);
        }
        throw mistake(token, "true or false is wanted here");
      }
    };
  }

  private static double seconds(String text) {
    int unit = text.endsWith("ms") ? text.length() - 2 : text.length() - 1;
    double n = Double.parseDouble(text.substring(0, unit));
    return switch (text.substring(unit)) {
      case "ms" -> n / 1000;
      case "m" -> n * 60;
      case "h" -> n * 3600;
      case "d" -> n * 86_400;
      default -> n;
    };
  }

  private Filter compare(String field, FilterParser.ComparisonContext by, Object value) {
    String sign = by.getText();
    Schema.Type type = schema.type(field);
    switch (sign) {
      case "=":
        return row -> value.equals(row.value(field));
      case "!=":
        return row -> !value.equals(row.value(field));
      case "~":
        if (type != Schema.Type.TEXT) {
          throw mistake(by.getStart(), "~ looks for a part of a text; " + field + " is none");
        }
        return row -> row.value(field) instanceof String s && s.contains((String) value);
      default:
        if (type != Schema.Type.NUMBER) {
          throw mistake(by.getStart(), sign + " compares numbers; " + field + " is none");
        }
        return ordered(field, sign, (Double) value);
    }
  }

  private static Filter ordered(String field, String sign, double value) {
    return row -> {
      if (!(row.value(field) instanceof Double d)) {
        return false;
      }
      return switch (sign) {
        case "<" -> d < value;
        case "<=" -> d <= value;
        case ">" -> d > value;
        default -> d >= value;
      };
    };
  }

  private static ParseCancellationException mistake(Token at, String message) {
    return new ParseCancellationException(new FilterException(at.getStartIndex(), message));
  }
}
